package org.gullsaddle.inbound;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;

import org.gullsaddle.base.Check;
import org.gullsaddle.hold.BufferBudget;

/**
 * All connections of clients to the servers of a process, and the memory and descriptors
 * that they share. Confined to the event loop.
 *
 * <pre>
 * InboundConnections inbound = InboundConnections.builder(budget).limits(limits).build();
 * vertx.createHttpServer().connectionHandler(inbound::onOpened) ...
 * vertx.setPeriodic(250, (timer) -&gt; inbound.check());
 * </pre>
 */
public final class InboundConnections {

	private static final double MILLIS_PER_SECOND = 1000;

	/** Heap that an idle connection uses, in bytes. */
	static final int CONNECTION_BYTES = 8192;

	/**
	 * Heap that a request uses while it is served, beside its head and body, in bytes.
	 */
	private static final int REQUEST_BYTES = 12_288;

	/**
	 * Decoded heads that are not small may use one part in this many of the limit
	 * together; a single one may use more.
	 */
	private static final int HEADS_DIVISOR = 2;

	/**
	 * Requests that were accepted may use the limit and one part in this many of it.
	 */
	private static final int OVERDRAFT_DIVISOR = 2;

	/** A head that uses no more than one part in this many of the limit is small. */
	private static final int SMALL_HEAD_DIVISOR = 256;

	private final BufferBudget budget;

	private final int maxConnections;

	private final Supplier<InboundLimits> limits;

	private final LongSupplier retryAfterMillis;

	private final BooleanSupplier abortBody;

	private final Consumer<Rejection> onRejected;

	private final Set<InboundConnection> open = new LinkedHashSet<>();

	/** Connections that hold bytes. */
	private int holders;

	/** Heap that all connections and their requests use, in bytes. */
	private long usedBytes;

	/** Heap that decoded heads use, in bytes. */
	private long headBytes;

	/** Heap that bodies use, in bytes. */
	private long bodyBytes;

	private int requests;

	private boolean enforcing;

	private InboundConnections(Builder builder) {
		this.budget = builder.budget;
		this.maxConnections = builder.maxConnections;
		this.limits = builder.limits;
		this.retryAfterMillis = builder.retryAfterMillis;
		this.abortBody = builder.abortBody;
		this.onRejected = builder.onRejected;
	}

	/**
	 * Creates a builder.
	 * @param budget the memory for all that is buffered for clients
	 * @return a builder
	 */
	public static Builder builder(BufferBudget budget) {
		return new Builder(budget);
	}

	/**
	 * Handles a new connection, before anything is read from it.
	 * @param connection the connection of an HTTP/1.1 server
	 */
	public void onOpened(HttpConnection connection) {
		ChannelHandlerContext server = ((ConnectionBase) connection).channelHandlerContext();
		InboundConnection inbound = new InboundConnection(this, this.budget.openAccount("connection", 1));
		ChannelPipeline pipeline = server.pipeline();
		pipeline.addFirst(inbound);
		pipeline.addBefore(server.name(), null, inbound.exchange());
		this.open.add(inbound);
		this.usedBytes += CONNECTION_BYTES;
		if (this.open.size() > this.maxConnections) {
			leastRecentlyUsed().orElse(inbound).drop(Rejection.TOO_MANY_CONNECTIONS);
		}
		if (!makeRoom(0, inbound)) {
			inbound.drop(Rejection.TOO_MANY_CONNECTIONS);
		}
	}

	private Optional<InboundConnection> leastRecentlyUsed() {
		return this.open.stream()
			.filter(InboundConnection::isIdle)
			.min(Comparator.comparingLong(InboundConnection::lastTransferAt));
	}

	/**
	 * Checks the time limits of all connections; called several times a second.
	 */
	public void check() {
		long now = now();
		InboundLimits current = limits();
		List.copyOf(this.open).forEach((each) -> each.check(current, now));
	}

	/**
	 * Returns the number of open connections.
	 * @return the number
	 */
	public int count() {
		return this.open.size();
	}

	InboundLimits limits() {
		return this.limits.get();
	}

	long now() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	void onClosed(InboundConnection connection) {
		if (this.open.remove(connection)) {
			this.usedBytes -= CONNECTION_BYTES;
		}
	}

	void onRejected(Rejection rejection) {
		this.onRejected.accept(rejection);
	}

	/**
	 * Returns a refusal after which the connection is closed.
	 */
	byte[] refusal(Rejection rejection) {
		String retryAfter = (rejection == Rejection.OUT_OF_MEMORY) ? "Retry-After: "
				+ String.format(Locale.ROOT, "%.2f", this.retryAfterMillis.getAsLong() / MILLIS_PER_SECOND) + "\r\n"
				: "";
		return ("HTTP/1.1 " + rejection.status() + " \r\n" + retryAfter
				+ "Connection: close\r\nContent-Length: 0\r\n\r\n")
			.getBytes(StandardCharsets.ISO_8859_1);
	}

	/**
	 * Returns whether there is memory to serve a request, if need be that of connections
	 * whose request is not served.
	 * @param cost the heap that its decoded head would use, in bytes
	 */
	boolean admits(InboundConnection connection, long cost) {
		if (this.requests == 0) {
			return true;
		}
		long limit = this.budget.limitBytes();
		boolean small = cost <= limit / SMALL_HEAD_DIVISOR;
		if (!small && this.headBytes + cost > limit / HEADS_DIVISOR) {
			return false;
		}
		return makeRoom(cost + REQUEST_BYTES, connection);
	}

	void onDecoded(long cost) {
		this.requests++;
		this.headBytes += cost;
		this.usedBytes += REQUEST_BYTES;
	}

	void onServed(long cost) {
		this.requests--;
		this.headBytes -= cost;
		this.usedBytes -= REQUEST_BYTES;
	}

	void onCharged(long before, long after) {
		this.holders += ((after > 0) ? 1 : 0) - ((before > 0) ? 1 : 0);
		this.usedBytes += after - before;
	}

	void onBodyCharged(long before, long after) {
		this.bodyBytes += after - before;
	}

	/**
	 * Returns whether the limit is exceeded, so that nothing more is read ahead of an
	 * answer.
	 */
	boolean isFull() {
		return this.usedBytes > this.budget.limitBytes();
	}

	/**
	 * Closes connections whose request is not served until the limit and the budget hold,
	 * or all that are left use little.
	 */
	void enforceLimit() {
		long limit = this.budget.limitBytes();
		closeWhile(() -> this.usedBytes > limit + limit / OVERDRAFT_DIVISOR, (each) -> !each.isServing());
		closeWhile(() -> this.budget.bufferedBytes() > this.budget.limitBytes(),
				(each) -> !each.isServing() && each.chargedBytes() > 0 && !isSmall(each.chargedBytes()));
	}

	/**
	 * Closes connections whose request is not served until there is room. Bodies do not
	 * take it: a few large ones in service would keep all small requests out.
	 * @return whether there is
	 */
	private boolean makeRoom(long bytes, InboundConnection asking) {
		BooleanSupplier isShort = () -> this.usedBytes - this.bodyBytes + bytes > this.budget.limitBytes();
		closeWhile(isShort, (each) -> each != asking && !each.isServing());
		return !isShort.getAsBoolean();
	}

	/**
	 * Closes first the connection that has used the most for the longest.
	 */
	private void closeWhile(BooleanSupplier isShort, Predicate<InboundConnection> eligible) {
		if (this.enforcing) {
			return;
		}
		this.enforcing = true;
		try {
			while (isShort.getAsBoolean()) {
				Optional<InboundConnection> victim = largest(eligible);
				if (victim.isEmpty()) {
					return;
				}
				if (!victim.get().isReceivingBody() || !this.abortBody.getAsBoolean()) {
					victim.get().yieldMemory();
				}
			}
		}
		finally {
			this.enforcing = false;
		}
	}

	private Optional<InboundConnection> largest(Predicate<InboundConnection> eligible) {
		long now = now();
		return this.open.stream().filter(eligible).max(Comparator.comparingDouble((each) -> each.occupancy(now)));
	}

	/**
	 * Returns whether this is less than half of an equal share of the budget. The small
	 * ones use at most half of the budget together, and are served although answers have
	 * used it up.
	 */
	private boolean isSmall(long bytes) {
		return 2 * Math.max(1, this.holders) * bytes < this.budget.limitBytes();
	}

	/**
	 * Builder of {@link InboundConnections}.
	 */
	public static final class Builder {

		private final BufferBudget budget;

		private int maxConnections = Integer.MAX_VALUE;

		private Supplier<InboundLimits> limits = () -> InboundLimits.DEFAULTS;

		private LongSupplier retryAfterMillis = () -> 0;

		private BooleanSupplier abortBody = () -> false;

		private Consumer<Rejection> onRejected = (rejection) -> {
		};

		private Builder(BufferBudget budget) {
			this.budget = budget;
		}

		/**
		 * Sets the largest number of open connections. Memory may allow fewer.
		 * @param newMax the number
		 * @return this builder
		 */
		public Builder maxConnections(int newMax) {
			Check.that(newMax > 0, "maxConnections must be positive");
			this.maxConnections = newMax;
			return this;
		}

		/**
		 * Sets where the limits of each connection come from.
		 * @param newLimits the limits in force
		 * @return this builder
		 */
		public Builder limits(Supplier<InboundLimits> newLimits) {
			this.limits = newLimits;
			return this;
		}

		/**
		 * Sets when clients that are refused for want of memory may retry.
		 * @param newRetryAfter the time in milliseconds
		 * @return this builder
		 */
		public Builder retryAfterMillis(LongSupplier newRetryAfter) {
			this.retryAfterMillis = newRetryAfter;
			return this;
		}

		/**
		 * Sets how the server refuses a request whose body is not complete, to free
		 * memory.
		 * @param newAbort refuses one, and returns false if there is none
		 * @return this builder
		 */
		public Builder abortBody(BooleanSupplier newAbort) {
			this.abortBody = newAbort;
			return this;
		}

		/**
		 * Sets what is told of connections that are refused or closed.
		 * @param newHandler gets the reason
		 * @return this builder
		 */
		public Builder onRejected(Consumer<Rejection> newHandler) {
			this.onRejected = newHandler;
			return this;
		}

		/**
		 * Builds the connections.
		 * @return the connections, none open
		 */
		public InboundConnections build() {
			return new InboundConnections(this);
		}

	}

}
