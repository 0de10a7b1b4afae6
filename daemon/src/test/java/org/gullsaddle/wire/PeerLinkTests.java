package org.gullsaddle.wire;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.gullsaddle.base.Address;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.settings.Role;
import org.gullsaddle.telemetry.NodeClock;

import static org.assertj.core.api.Assertions.assertThat;

class PeerLinkTests {

	private static final String KEY = "a key that both know";

	private final Vertx vertx = Vertx.vertx();

	private final Recorder agent = new Recorder();

	private int port;

	@BeforeEach
	void listen() throws Exception {
		PeerServer server = new PeerServer(this.vertx, identity("agent-1", Role.AGENT, KEY), this.agent);
		this.port = server.listen(new Address("127.0.0.1", 0)).toCompletionStage().toCompletableFuture().get();
	}

	@AfterEach
	void close() throws Exception {
		this.vertx.close().toCompletionStage().toCompletableFuture().get();
	}

	private static PeerIdentity identity(String node, Role role, String key) {
		return new PeerIdentity(new NodeId(node), role, key.getBytes(StandardCharsets.UTF_8), new NodeClock(), () -> 7);
	}

	private Recorder dial(String key) {
		Recorder entry = new Recorder();
		new PeerDialer(this.vertx, identity("entry-1", Role.ENTRY, key)).dial(new Address("127.0.0.1", this.port),
				entry);
		return entry;
	}

	@Test
	void peersWithTheSameKeyExchangeFramesInOrder() throws Exception {
		PeerLink link = dial(KEY).awaitEvent("up").link();
		assertThat(link.peer()).isEqualTo(new NodeId("agent-1"));
		assertThat(link.peerRole()).isEqualTo(Role.AGENT);
		PeerLink back = this.agent.awaitEvent("up").link();
		assertThat(back.peer()).isEqualTo(new NodeId("entry-1"));
		for (int i = 0; i < 100; i++) {
			link.send(new Frame.Ping(i, 0));
			link.send(new Frame.Welcome("frame " + i));
		}
		for (int i = 0; i < 100; i++) {
			assertThat(this.agent.awaitEvent("frame").frame()).isEqualTo(new Frame.Welcome("frame " + i));
		}
	}

	@Test
	void peerWithAnotherKeyIsNotLinked() throws Exception {
		assertThat(dial("a key that only one knows").awaitEvent("failed")).isNotNull();
		assertThat(this.agent.awaitEvent("failed")).isNotNull();
	}

	@Test
	void deadlineIsNeverConvertedToALaterTime() throws Exception {
		dial(KEY).awaitEvent("up");
		PeerLink link = this.agent.awaitEvent("up").link();
		long deadline = new NodeClock().millis() + 1000;
		// Both ends share a clock here, so the times can be compared.
		assertThat(link.toLocalMillis(deadline)).isLessThanOrEqualTo(deadline);
		assertThat(link.toLocalMillis(Long.MAX_VALUE)).isEqualTo(Long.MAX_VALUE);
	}

	/**
	 * A client that is not a peer sends malformed bytes. Its connection is closed; an
	 * established link is not affected.
	 */
	@Test
	void malformedBytesCloseOnlyTheirOwnConnection() throws Exception {
		PeerLink link = dial(KEY).awaitEvent("up").link();
		this.agent.awaitEvent("up");
		assertThat(closedAfter(new byte[] { 0, 0, 0, 5, 1, 2, 3, 4, 5 })).isTrue();
		assertThat(closedAfter(new byte[] { 127, 0, 0, 0 })).isTrue();
		assertThat(closedAfter(new byte[] { 0, 0, 0, 0 })).isTrue();
		link.send(new Frame.Welcome("still here"));
		assertThat(this.agent.awaitEvent("frame").frame()).isEqualTo(new Frame.Welcome("still here"));
	}

	@Test
	void framesBeforeTheHandshakeAreRejected() throws Exception {
		byte[] frame = FrameCodec.write(1, new Frame.Leaving());
		byte[] bytes = new byte[4 + frame.length];
		bytes[3] = (byte) frame.length;
		System.arraycopy(frame, 0, bytes, 4, frame.length);
		assertThat(closedAfter(bytes)).isTrue();
	}

	private boolean closedAfter(byte[] bytes) throws IOException {
		try (Socket socket = new Socket("127.0.0.1", this.port)) {
			socket.setSoTimeout(5000);
			DataInputStream in = new DataInputStream(socket.getInputStream());
			in.skipNBytes(in.readInt());
			new DataOutputStream(socket.getOutputStream()).write(bytes);
			return in.read() == -1;
		}
	}

	private record Event(String what, PeerLink link, Frame frame) {
	}

	private static final class Recorder implements PeerListener {

		private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();

		@Override
		public void onLinkUp(PeerLink link) {
			this.events.add(new Event("up", link, null));
		}

		@Override
		public void onFrame(PeerLink link, Frame frame) {
			this.events.add(new Event("frame", link, frame));
		}

		@Override
		public void onLinkDown(PeerLink link) {
			this.events.add(new Event("down", link, null));
		}

		@Override
		public void onLinkFailed(PeerLink link) {
			this.events.add(new Event("failed", link, null));
		}

		Event awaitEvent(String what) throws InterruptedException {
			while (true) {
				Event next = this.events.poll(20, TimeUnit.SECONDS);
				assertThat(next).as("event " + what).isNotNull();
				if (next.what().equals(what)) {
					return next;
				}
			}
		}

	}

}
