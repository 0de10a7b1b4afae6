package org.gullsaddle.inbound;

import java.util.Arrays;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;

import org.gullsaddle.hold.BufferAccount;

/**
 * A client's connection, in front of the HTTP decoder. The decoder gets one request at a
 * time, each head as a whole and only if there is memory for what it is decoded to. Until
 * then a byte uses a byte.
 */
final class InboundConnection extends ChannelDuplexHandler {

	/**
	 * Bytes received ahead of the answer to an earlier request, beyond which the
	 * connection is not read: as long as it is read, its end is noticed.
	 */
	private static final int MAX_AHEAD_BYTES = 32_768;

	/**
	 * Bytes that are ignored after the last answer, so that a client that is still
	 * sending can read it.
	 */
	private static final int MAX_IGNORED_BYTES = 262_144;

	/** How long a refused client may take to read the refusal, in milliseconds. */
	private static final long LINGER_MILLIS = 1000;

	/** How long a client may take to read the last answer, in milliseconds. */
	private static final long LAST_ANSWER_MILLIS = 30_000;

	private static final int MIN_HELD_BYTES = 512;

	/** Heap for a byte of a body in a buffer that grows. */
	private static final int BODY_COST = 2;

	private static final byte[] EMPTY = {};

	private final InboundConnections connections;

	private final Exchange exchange = new Exchange(this);

	private final BufferAccount account;

	private ChannelHandlerContext context;

	private Phase phase = Phase.HEAD;

	private HeadScanner scanner = new HeadScanner();

	/** Received bytes that the decoder has not got. */
	private byte[] held = EMPTY;

	private int heldBytes;

	/** Blank bytes before the head. */
	private int blankBytes;

	/** Heap that the decoded head uses, in bytes. */
	private long decodedCost;

	/** Bytes of the body that the server has got, which it accounts for itself. */
	private long bodyBytes;

	private long unreadAnswerBytes;

	private int ignoredBytes;

	private long chargedBytes;

	private long chargedBodyBytes;

	private long chargedSince;

	/** When the first byte of the next request was received, 0 if none was. */
	private long headBegunAt;

	private long lastTransferAt;

	private long closeAt = Long.MAX_VALUE;

	/** Whether it was reported why the connection is closed, if it is to be. */
	private boolean reported;

	/** Whether the server was told that the connection has closed. */
	private boolean detached;

	private boolean resumeScheduled;

	/** Whether the connection is not read until the answer was sent. */
	private boolean paused;

	InboundConnection(InboundConnections connections, BufferAccount account) {
		this.connections = connections;
		this.account = account;
		this.lastTransferAt = connections.now();
	}

	Exchange exchange() {
		return this.exchange;
	}

	InboundLimits limits() {
		return this.connections.limits();
	}

	@Override
	public void handlerAdded(ChannelHandlerContext newContext) {
		this.context = newContext;
	}

	@Override
	public void channelInactive(ChannelHandlerContext inactive) {
		this.phase = Phase.CLOSING;
		this.unreadAnswerBytes = 0;
		release();
		this.account.close();
		this.connections.onClosed(this);
		if (!this.detached) {
			inactive.fireChannelInactive();
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext reading, Object message) {
		if (!(message instanceof ByteBuf in)) {
			reading.fireChannelRead(message);
			return;
		}
		try {
			this.lastTransferAt = this.connections.now();
			if (this.phase == Phase.CLOSING) {
				ignore(in);
				return;
			}
			beginHead();
			if (this.heldBytes > 0) {
				hold(in);
				resume();
			}
			else {
				process(in);
				hold(in);
				resumeIfDue();
			}
			recharge();
		}
		finally {
			in.release();
		}
	}

	@Override
	public void read(ChannelHandlerContext reading) {
		if (this.heldBytes > 0 && this.phase == Phase.BODY) {
			// The server reads on after a pause.
			scheduleResume();
		}
		reading.read();
	}

	@Override
	public void flush(ChannelHandlerContext flushing) {
		flushing.flush();
		if (updateUnreadAnswer()) {
			recharge();
		}
	}

	/**
	 * Processes what is held, as far as it goes now.
	 */
	private void resume() {
		byte[] bytes = this.held;
		ByteBuf in = Unpooled.wrappedBuffer(bytes, 0, this.heldBytes);
		this.held = EMPTY;
		this.heldBytes = 0;
		process(in);
		if (in.readerIndex() == 0 && this.heldBytes == 0 && this.phase != Phase.CLOSING) {
			this.held = bytes;
			this.heldBytes = in.readableBytes();
		}
		else {
			hold(in);
			resumeIfDue();
		}
	}

	private void beginHead() {
		if (this.phase == Phase.HEAD && this.headBegunAt == 0) {
			this.headBegunAt = this.connections.now();
		}
	}

	/**
	 * Processes what follows an answered request in another turn of the event loop, so
	 * that requests sent ahead do not keep it.
	 */
	private void resumeIfDue() {
		if (this.phase == Phase.HEAD && this.heldBytes > 0 && this.scanner.isEmpty()) {
			beginHead();
			scheduleResume();
		}
	}

	private void scheduleResume() {
		if (!this.resumeScheduled) {
			this.resumeScheduled = true;
			this.context.executor().execute(() -> {
				this.resumeScheduled = false;
				if (this.phase != Phase.CLOSING) {
					resume();
					this.context.fireChannelReadComplete();
					recharge();
				}
			});
		}
	}

	private void process(ByteBuf in) {
		boolean progress = true;
		while (progress && in.isReadable()) {
			progress = switch (this.phase) {
				case HEAD -> processHead(in);
				case BODY -> processBody(in);
				case ANSWER, CLOSING -> false;
			};
		}
	}

	/**
	 * Passes a head on once it is complete.
	 * @return whether it was
	 */
	private boolean processHead(ByteBuf in) {
		if (this.scanner.isEmpty()) {
			int before = in.readableBytes();
			HeadScanner.skipBlanks(in);
			this.blankBytes += before - in.readableBytes();
		}
		int length = this.scanner.scan(in);
		int limitBytes = limits().headBytes();
		if (this.blankBytes > limitBytes || this.scanner.exceeds(limitBytes)) {
			refuse(Rejection.HEAD_TOO_LARGE);
			return false;
		}
		if (length < 0) {
			return false;
		}
		long cost = this.scanner.cost();
		if (!this.connections.admits(this, cost)) {
			refuse(Rejection.OUT_OF_MEMORY);
			return false;
		}
		this.decodedCost = cost;
		this.connections.onDecoded(cost);
		this.exchange.reset();
		this.phase = Phase.BODY;
		this.context.fireChannelRead(in.readRetainedSlice(length));
		if (this.phase == Phase.BODY && this.exchange.framing() == null) {
			refuse(Rejection.MALFORMED);
		}
		return !endBodyIfReceived();
	}

	/**
	 * Passes a part of the body on, unless the server has paused.
	 * @return whether there may be more to pass on
	 */
	private boolean processBody(ByteBuf in) {
		if (!this.context.channel().config().isAutoRead()) {
			return false;
		}
		try {
			ByteBuf part = this.exchange.framing().take(in);
			if (part.isReadable()) {
				this.context.fireChannelRead(part);
			}
			else {
				part.release();
			}
		}
		catch (MalformedBodyException ex) {
			refuse(Rejection.MALFORMED);
			return false;
		}
		return !endBodyIfReceived();
	}

	/**
	 * Ends the body once the decoder has got all of it.
	 * @return whether nothing more of the request is to be passed on
	 */
	private boolean endBodyIfReceived() {
		if (this.phase != Phase.BODY) {
			return true;
		}
		if (this.exchange.framing().hasEnded() != this.exchange.isReceived()) {
			// The decoder sees another end of the request than the framing.
			refuse(Rejection.MALFORMED);
			return true;
		}
		if (!this.exchange.isReceived()) {
			return false;
		}
		this.phase = Phase.ANSWER;
		onAnswerFlushed();
		return true;
	}

	/**
	 * Records bytes of the body that the decoder has passed on.
	 */
	void onBody(int bytes) {
		this.bodyBytes += bytes;
	}

	void onAnswerWritten() {
		this.lastTransferAt = this.connections.now();
		if (this.exchange.isLastAnswered() && this.phase != Phase.CLOSING) {
			beginClosing(LAST_ANSWER_MILLIS);
		}
	}

	void onAnswerFlushed() {
		this.lastTransferAt = this.connections.now();
		if (this.phase == Phase.CLOSING && this.exchange.isLastAnswered()) {
			// The server waits for the rest of the request, which nobody reads.
			this.reported = true;
			lingerBeforeClose();
		}
		if (this.phase == Phase.ANSWER && this.exchange.hasEnded()) {
			endRequest();
			this.scanner = new HeadScanner();
			this.blankBytes = 0;
			this.headBegunAt = 0;
			this.phase = Phase.HEAD;
			resumeIfDue();
			if (this.paused) {
				this.paused = false;
				this.context.channel().config().setAutoRead(true);
			}
		}
		updateUnreadAnswer();
		recharge();
	}

	private void hold(ByteBuf in) {
		int more = in.readableBytes();
		if (this.phase == Phase.CLOSING || more == 0) {
			return;
		}
		if (this.heldBytes + more > this.held.length) {
			int grown = Math.max(MIN_HELD_BYTES, this.held.length + this.held.length / 2);
			this.held = Arrays.copyOf(this.held, Math.max(this.heldBytes + more, grown));
		}
		in.readBytes(this.held, this.heldBytes, more);
		this.heldBytes += more;
		if (this.phase == Phase.ANSWER && (this.heldBytes > MAX_AHEAD_BYTES || this.connections.isFull())) {
			this.paused = true;
			this.context.channel().config().setAutoRead(false);
		}
	}

	private void ignore(ByteBuf in) {
		this.ignoredBytes += in.readableBytes();
		if (this.ignoredBytes > MAX_IGNORED_BYTES) {
			this.context.channel().config().setAutoRead(false);
		}
	}

	/**
	 * Records how much memory the connection uses, which may close others, or this one.
	 */
	private void recharge() {
		long buffered = this.held.length + this.decodedCost + this.unreadAnswerBytes;
		long body = BODY_COST * this.bodyBytes;
		long bytes = buffered + body;
		if (bytes == this.chargedBytes) {
			return;
		}
		boolean more = bytes > this.chargedBytes;
		if (this.chargedBytes == 0) {
			this.chargedSince = this.connections.now();
		}
		this.connections.onCharged(this.chargedBytes, bytes);
		this.connections.onBodyCharged(this.chargedBodyBytes, body);
		this.chargedBytes = bytes;
		this.chargedBodyBytes = body;
		this.account.recordBuffered(buffered, false, this.connections.now());
		if (more) {
			this.connections.enforceLimit();
		}
	}

	private boolean updateUnreadAnswer() {
		ChannelOutboundBuffer unread = this.context.channel().unsafe().outboundBuffer();
		long bytes = (unread != null) ? unread.totalPendingWriteBytes() : 0;
		if (bytes == this.unreadAnswerBytes) {
			return false;
		}
		if (bytes < this.unreadAnswerBytes) {
			this.lastTransferAt = this.connections.now();
		}
		this.unreadAnswerBytes = bytes;
		return true;
	}

	long chargedBytes() {
		return this.chargedBytes;
	}

	long lastTransferAt() {
		return this.lastTransferAt;
	}

	/**
	 * Returns for how many byte milliseconds the connection has used memory.
	 */
	double occupancy(long now) {
		long since = (this.chargedBytes > 0) ? this.chargedSince : this.lastTransferAt;
		return (double) (this.chargedBytes + InboundConnections.CONNECTION_BYTES) * (now - since + 1);
	}

	private boolean isDecoded() {
		return this.phase == Phase.BODY || this.phase == Phase.ANSWER;
	}

	/**
	 * Returns whether the server may be running a request of this connection.
	 */
	boolean isServing() {
		return isDecoded() && this.exchange.isReceived() && !this.exchange.isAnswerWritten();
	}

	/**
	 * Returns whether the server waits for the rest of a body.
	 */
	boolean isReceivingBody() {
		return this.phase == Phase.BODY && !this.exchange.isReceived();
	}

	/**
	 * Returns whether nothing of a request was received, and no answer is left to send.
	 */
	boolean isIdle() {
		return this.phase == Phase.HEAD && this.headBegunAt == 0;
	}

	/**
	 * Checks the time limits.
	 */
	void check(InboundLimits limits, long now) {
		if (this.unreadAnswerBytes > 0 && updateUnreadAnswer()) {
			recharge();
		}
		boolean stalled = now - this.lastTransferAt > limits.idleMillis();
		switch (this.phase) {
			case HEAD -> {
				if (this.headBegunAt > 0 && now - this.headBegunAt > limits.headMillis()) {
					refuse(Rejection.HEAD_TOO_SLOW);
				}
				else if (this.headBegunAt == 0 && stalled) {
					drop(Rejection.IDLE);
				}
			}
			case BODY -> {
				if (stalled && this.context.channel().config().isAutoRead()) {
					refuse(Rejection.BODY_TOO_SLOW);
				}
			}
			case ANSWER -> {
				if (stalled && this.exchange.isAnswerWritten()) {
					drop(Rejection.UNREAD_ANSWER);
				}
			}
			case CLOSING -> {
				if (now >= this.closeAt) {
					drop(Rejection.UNREAD_ANSWER);
				}
			}
		}
	}

	/**
	 * Refuses the request that has not run, and closes the connection. A request that may
	 * run, or whose answer has begun, cannot be refused any more.
	 */
	void refuse(Rejection rejection) {
		boolean decoded = isDecoded();
		boolean late = decoded && (this.exchange.isReceived() || this.exchange.hasAnswerBegun());
		if (rejection.status() == 0 || this.phase == Phase.CLOSING || late) {
			drop(rejection);
			return;
		}
		report(rejection);
		beginClosing(LINGER_MILLIS);
		if (decoded) {
			// The server drops what it has of the request now, not after the client has
			// read.
			this.detached = true;
			this.context.fireChannelInactive();
		}
		ByteBuf refusal = Unpooled.wrappedBuffer(this.connections.refusal(rejection));
		this.context.writeAndFlush(refusal).addListener((done) -> lingerBeforeClose());
	}

	private void report(Rejection rejection) {
		if (!this.reported) {
			this.reported = true;
			this.connections.onRejected(rejection);
		}
	}

	/**
	 * Lets the client read its last answer: a connection that is closed while its client
	 * sends is reset, and the answer may be lost.
	 */
	private void lingerBeforeClose() {
		this.closeAt = Math.min(this.closeAt, this.connections.now() + LINGER_MILLIS);
		if (this.context.channel() instanceof DuplexChannel channel && channel.isActive()) {
			channel.shutdownOutput();
		}
	}

	private void beginClosing(long millis) {
		this.phase = Phase.CLOSING;
		this.closeAt = this.connections.now() + millis;
		release();
	}

	/**
	 * Gives up its memory for others. A refused connection, or one on which nothing was
	 * sent, is closed at once.
	 */
	void yieldMemory() {
		if (this.phase == Phase.CLOSING || isIdle()) {
			drop(Rejection.OUT_OF_MEMORY);
		}
		else {
			refuse(Rejection.OUT_OF_MEMORY);
		}
	}

	/**
	 * Closes the connection at once.
	 */
	void drop(Rejection reason) {
		report(reason);
		this.phase = Phase.CLOSING;
		this.context.close();
		this.unreadAnswerBytes = 0;
		release();
		this.connections.onClosed(this);
	}

	private void release() {
		this.held = EMPTY;
		this.heldBytes = 0;
		endRequest();
		recharge();
	}

	private void endRequest() {
		if (this.decodedCost > 0) {
			this.connections.onServed(this.decodedCost);
			this.decodedCost = 0;
			this.bodyBytes = 0;
		}
	}

	/**
	 * What the connection waits for.
	 */
	private enum Phase {

		HEAD, BODY, ANSWER, CLOSING

	}

}
