package org.gullsaddle.wire;

import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.gullsaddle.base.NodeId;
import org.gullsaddle.settings.Role;
import org.gullsaddle.telemetry.NodeClock;

/**
 * A link to another node. Sending is thread-safe.
 */
public final class PeerLink implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(PeerLink.class);

	private static final int LENGTH_BYTES = 4;

	private static final long HANDSHAKE_MILLIS = 3000;

	private static final long PING_MILLIS = 500;

	private static final long SILENCE_MILLIS = 3000;

	/** What may wait for a peer that reads too slowly, before its link is closed. */
	private static final long MAX_UNSENT_BYTES = 16L << 20;

	private final PeerIdentity self;

	private final Vertx vertx;

	private final NetSocket socket;

	private final PeerListener listener;

	private final NodeClock clock;

	private final AtomicLong unsent = new AtomicLong();

	private final Handshake handshake;

	private volatile NodeId peer;

	private volatile Role peerRole;

	private volatile long heardAt;

	private volatile long storeAge = -1;

	/** The peer's clock minus the earliest that this node's clock can have been then. */
	private volatile long clockLead;

	private boolean up;

	private long timer;

	PeerLink(Vertx vertx, NetSocket socket, PeerIdentity self, PeerListener listener, boolean accepted) {
		this.vertx = vertx;
		this.socket = socket;
		this.self = self;
		this.listener = listener;
		this.clock = self.clock();
		this.heardAt = this.clock.millis();
		this.handshake = new Handshake(self, this, accepted);
	}

	/**
	 * Returns the other node.
	 * @return its name, proved at the handshake
	 */
	public NodeId peer() {
		return this.peer;
	}

	/**
	 * Returns the other node's role.
	 * @return the role it gave at the handshake
	 */
	public Role peerRole() {
		return this.peerRole;
	}

	/**
	 * Returns how long ago the other node last heard of the store, as it last told.
	 * @return milliseconds, or -1 if it does not ask the store
	 */
	public long storeAge() {
		return this.storeAge;
	}

	/**
	 * Turns a time on the other node's clock into the earliest that this node's clock can
	 * show then.
	 * <p>
	 * Two monotonic clocks have nothing in common, and a frame may be held up anywhere.
	 * The last answer of the peer was made after this node asked for it, so that reading
	 * its clock as of the asking can only bring a deadline forward; a dispatch that was
	 * held up is never run after its deadline.
	 * @param peerMillis milliseconds on the peer's monotonic clock
	 * @return milliseconds on this node's monotonic clock
	 */
	public long toLocal(long peerMillis) {
		return (peerMillis == Long.MAX_VALUE) ? Long.MAX_VALUE : peerMillis - this.clockLead;
	}

	/**
	 * Sends a frame, in the order of the calls. A frame that cannot be sent closes the
	 * link.
	 * @param frame the frame
	 */
	public void send(Frame frame) {
		byte[] bytes;
		try {
			bytes = FrameCodec.write(this.clock.stamp(), frame);
		}
		catch (FrameException ex) {
			close(ex.getMessage());
			return;
		}
		if (this.unsent.addAndGet(bytes.length) > MAX_UNSENT_BYTES) {
			close("the peer reads too slowly");
			return;
		}
		Buffer buffer = Buffer.buffer(LENGTH_BYTES + bytes.length).appendInt(bytes.length).appendBytes(bytes);
		this.socket.write(buffer).onComplete((written) -> this.unsent.addAndGet(-bytes.length));
	}

	@Override
	public void close() {
		this.socket.close();
	}

	void start() {
		RecordParser parser = RecordParser.newFixed(LENGTH_BYTES);
		boolean[] inBody = new boolean[1];
		parser.handler((buffer) -> {
			if (inBody[0]) {
				inBody[0] = false;
				parser.fixedSizeMode(LENGTH_BYTES);
				receive(buffer.getBytes());
				return;
			}
			int length = buffer.getInt(0);
			if (length <= 0 || length > FrameCodec.MAX_FRAME_BYTES) {
				close("a frame of " + length + " bytes");
				return;
			}
			inBody[0] = true;
			parser.fixedSizeMode(length);
		});
		this.socket.handler(parser);
		this.socket.exceptionHandler((failure) -> close(String.valueOf(failure.getMessage())));
		this.socket.closeHandler((closed) -> closed());
		this.timer = this.vertx.setPeriodic(PING_MILLIS, (tick) -> beat());
		this.handshake.begin();
	}

	void established(NodeId node, Role role) {
		this.peer = node;
		this.peerRole = role;
		this.up = true;
		LOG.atInfo().addKeyValue("peer", node).addKeyValue("role", role).log("link up");
		this.listener.up(this);
	}

	void learnClock(long askedAt, long peerClock) {
		this.clockLead = peerClock - askedAt;
	}

	long now() {
		return this.clock.millis();
	}

	private void receive(byte[] bytes) {
		try {
			FrameCodec.Envelope envelope = FrameCodec.read(bytes);
			this.heardAt = now();
			this.clock.observe(envelope.stamp());
			if (!this.up) {
				this.handshake.receive(envelope.frame());
				return;
			}
			switch (envelope.frame()) {
				case Frame.Ping ping -> {
					this.storeAge = ping.storeAge();
					send(new Frame.Pong(ping.clock(), now()));
				}
				case Frame.Pong pong -> learnClock(pong.echo(), pong.clock());
				case Frame.Unknown unknown -> LOG.atDebug().addKeyValue("peer", this.peer).log("unknown frame skipped");
				default -> this.listener.frame(this, envelope.frame());
			}
		}
		catch (FrameException | RuntimeException ex) {
			close(String.valueOf(ex.getMessage()));
		}
	}

	private void beat() {
		long silent = now() - this.heardAt;
		if (silent > (this.up ? SILENCE_MILLIS : HANDSHAKE_MILLIS)) {
			close("nothing heard for " + silent + " ms");
			return;
		}
		if (this.up) {
			send(new Frame.Ping(now(), this.self.storeAge().getAsLong()));
		}
	}

	private void close(String reason) {
		LOG.atWarn()
			.addKeyValue("peer", (this.peer != null) ? this.peer : this.socket.remoteAddress())
			.addKeyValue("reason", reason)
			.log("link closed");
		this.socket.close();
	}

	private void closed() {
		this.vertx.cancelTimer(this.timer);
		if (this.up) {
			this.up = false;
			this.listener.down(this);
		}
		else {
			this.listener.failed(this);
		}
	}

}
