package org.gullsaddle.inbound;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
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

	/**
	 * Decoded heads that are not small may use one part in this many of the budget
	 * together; a single one may use more.
	 */
	private static final int DECODED_DIVISOR = 2;

	/** Heap that an idle connection uses, in bytes. */
	private static final int CONNECTION_BYTES = 8192;

	private final BufferBudget budget;

	private final int maxConnections;

	private final Supplier<InboundLimits> limits;

	private final LongSupplier retryAfterMillis;

	private final Consumer<Rejection> onRejected;

	private final Set<InboundConnection> open = new LinkedHashSet<>();

	/** Connections that use memory. */
	private int holders;

	private long decodedBytes;

	private boolean enforcing;

	private InboundConnections(Builder builder) {
		this.budget = builder.budget;
		// Idle connections use as much memory as may be buffered, at most.
		this.maxConnections = (int) Math.min(builder.maxConnections, this.budget.limitBytes() / CONNECTION_BYTES);
		this.limits = builder.limits;
		this.retryAfterMillis = builder.retryAfterMillis;
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
		if (this.open.size() > this.maxConnections) {
			leastRecentlyUsed().orElse(inbound).drop(Rejection.TOO_MANY_CONNECTIONS);
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
		this.open.remove(connection);
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
	 * Returns whether there is memory to decode a head, if need be that of connections
	 * which use more of it.
	 * @param cost the heap that it would use, in bytes
	 */
	boolean admits(InboundConnection connection, long cost) {
		if (isSmall(cost) || this.decodedBytes == 0) {
			return true;
		}
		if (this.decodedBytes + cost > this.budget.limitBytes() / DECODED_DIVISOR) {
			return false;
		}
		long more = Math.max(0, cost - connection.chargedBytes());
		enforceBudget(more, (each) -> each != connection && each.chargedBytes() > cost);
		return this.budget.bufferedBytes() + more <= this.budget.limitBytes();
	}

	void onDecoded(long cost) {
		this.decodedBytes += cost;
	}

	void onReleased(long cost) {
		this.decodedBytes -= cost;
	}

	void onCharged(long before, long after) {
		this.holders += ((after > 0) ? 1 : 0) - ((before > 0) ? 1 : 0);
	}

	/**
	 * Returns whether this is less than half of an equal share of the budget. The small
	 * ones use at most half of the budget together, and are served although larger
	 * connections or answers have used it up.
	 */
	private boolean isSmall(long bytes) {
		return 2 * Math.max(1, this.holders) * bytes < this.budget.limitBytes();
	}

	/**
	 * Closes connections until the budget holds, or all use little.
	 */
	void enforceBudget() {
		enforceBudget(0, (each) -> !isSmall(each.chargedBytes()));
	}

	/**
	 * Closes first, of those whose request has not run, the connection that has used the
	 * most for the longest.
	 */
	private void enforceBudget(long more, Predicate<InboundConnection> eligible) {
		if (this.enforcing) {
			return;
		}
		this.enforcing = true;
		try {
			Optional<InboundConnection> victim = Optional.empty();
			do {
				victim.ifPresent((each) -> each.refuse(Rejection.OUT_OF_MEMORY));
				victim = isOverdrawn(more) ? largest(eligible) : Optional.empty();
			}
			while (victim.isPresent());
		}
		finally {
			this.enforcing = false;
		}
	}

	private boolean isOverdrawn(long more) {
		return this.budget.bufferedBytes() + more > this.budget.limitBytes();
	}

	private Optional<InboundConnection> largest(Predicate<InboundConnection> eligible) {
		long now = now();
		return this.open.stream()
			.filter((each) -> each.chargedBytes() > 0 && eligible.test(each))
			.max(Comparator.comparing((InboundConnection each) -> !each.isServing())
				.thenComparingDouble((each) -> each.occupancy(now)));
	}

	/**
	 * Builder of {@link InboundConnections}.
	 */
	public static final class Builder {

		private final BufferBudget budget;

		private int maxConnections = Integer.MAX_VALUE;

		private Supplier<InboundLimits> limits = () -> InboundLimits.DEFAULTS;

		private LongSupplier retryAfterMillis = () -> 0;

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
