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

	private static final long HANDSHAKE_TIMEOUT_MILLIS = 3000;

	private static final long PING_INTERVAL_MILLIS = 500;

	private static final long MAX_SILENCE_MILLIS = 3000;

	/**
	 * A peer that reads too slowly has its link closed at this number of unsent bytes.
	 */
	private static final long MAX_UNSENT_BYTES = 16L << 20;

	private final PeerIdentity self;

	private final Vertx vertx;

	private final NetSocket socket;

	private final PeerListener listener;

	private final NodeClock clock;

	private final AtomicLong unsentBytes = new AtomicLong();

	private final Handshake handshake;

	private volatile NodeId peer;

	private volatile Role peerRole;

	private volatile long lastFrameMillis;

	private volatile long storeAgeMillis = -1;

	/** The peer's clock minus the earliest possible reading of this node's clock then. */
	private volatile long clockOffsetMillis;

	private boolean up;

	private long timer;

	PeerLink(Vertx vertx, NetSocket socket, PeerIdentity self, PeerListener listener, boolean accepted) {
		this.vertx = vertx;
		this.socket = socket;
		this.self = self;
		this.listener = listener;
		this.clock = self.clock();
		this.lastFrameMillis = this.clock.millis();
		this.handshake = new Handshake(self, this, accepted);
	}

	/**
	 * Returns the peer's name.
	 * @return the name, proved at the handshake
	 */
	public NodeId peer() {
		return this.peer;
	}

	/**
	 * Returns the peer's role.
	 * @return the role it gave at the handshake
	 */
	public Role peerRole() {
		return this.peerRole;
	}

	/**
	 * Returns the time since the store last answered the peer, as last reported by the
	 * peer.
	 * @return milliseconds, or -1 if the peer does not use the store
	 */
	public long storeAgeMillis() {
		return this.storeAgeMillis;
	}

	/**
	 * Converts a time on the peer's clock to the earliest possible time on this node's
	 * clock.
	 * <p>
	 * Monotonic clocks of two nodes are unrelated, and a frame may be delayed anywhere.
	 * The peer read its clock after this node sent the ping; taking the reading as of the
	 * ping can only move a deadline earlier, so a delayed dispatch never runs after its
	 * deadline.
	 * @param peerMillis milliseconds on the peer's monotonic clock
	 * @return milliseconds on this node's monotonic clock
	 */
	public long toLocalMillis(long peerMillis) {
		return (peerMillis == Long.MAX_VALUE) ? Long.MAX_VALUE : peerMillis - this.clockOffsetMillis;
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
		if (this.unsentBytes.addAndGet(bytes.length) > MAX_UNSENT_BYTES) {
			close("the peer reads too slowly");
			return;
		}
		Buffer buffer = Buffer.buffer(LENGTH_BYTES + bytes.length).appendInt(bytes.length).appendBytes(bytes);
		this.socket.write(buffer).onComplete((written) -> this.unsentBytes.addAndGet(-bytes.length));
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
		this.socket.closeHandler((closed) -> onClosed());
		this.timer = this.vertx.setPeriodic(PING_INTERVAL_MILLIS, (tick) -> checkAndPing());
		this.handshake.begin();
	}

	void onEstablished(NodeId node, Role role) {
		this.peer = node;
		this.peerRole = role;
		this.up = true;
		LOG.atInfo().addKeyValue("peer", node).addKeyValue("role", role).log("link up");
		this.listener.onLinkUp(this);
	}

	void updateClockOffset(long sentMillis, long peerClock) {
		this.clockOffsetMillis = peerClock - sentMillis;
	}

	long nowMillis() {
		return this.clock.millis();
	}

	private void receive(byte[] bytes) {
		try {
			FrameCodec.Envelope envelope = FrameCodec.read(bytes);
			this.lastFrameMillis = nowMillis();
			this.clock.observe(envelope.stamp());
			if (!this.up) {
				this.handshake.onFrame(envelope.frame());
				return;
			}
			switch (envelope.frame()) {
				case Frame.Ping ping -> {
					this.storeAgeMillis = ping.storeAge();
					send(new Frame.Pong(ping.clock(), nowMillis()));
				}
				case Frame.Pong pong -> updateClockOffset(pong.echo(), pong.clock());
				case Frame.Unknown unknown -> LOG.atDebug().addKeyValue("peer", this.peer).log("unknown frame skipped");
				default -> this.listener.onFrame(this, envelope.frame());
			}
		}
		catch (FrameException | RuntimeException ex) {
			close(String.valueOf(ex.getMessage()));
		}
	}

	private void checkAndPing() {
		long silentMillis = nowMillis() - this.lastFrameMillis;
		if (silentMillis > (this.up ? MAX_SILENCE_MILLIS : HANDSHAKE_TIMEOUT_MILLIS)) {
			close("nothing heard for " + silentMillis + " ms");
			return;
		}
		if (this.up) {
			send(new Frame.Ping(nowMillis(), this.self.storeAgeMillis().getAsLong()));
		}
	}

	private void close(String reason) {
		LOG.atWarn()
			.addKeyValue("peer", (this.peer != null) ? this.peer : this.socket.remoteAddress())
			.addKeyValue("reason", reason)
			.log("link closed");
		this.socket.close();
	}

	private void onClosed() {
		this.vertx.cancelTimer(this.timer);
		if (this.up) {
			this.up = false;
			this.listener.onLinkDown(this);
		}
		else {
			this.listener.onLinkFailed(this);
		}
	}

}
