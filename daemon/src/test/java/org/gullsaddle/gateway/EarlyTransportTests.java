package org.gullsaddle.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.gullsaddle.base.Address;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Connections on which there is always more to read.
 */
class EarlyTransportTests {

	private static final int TURNS = 200;

	private static final byte[] BYTES = new byte[1_000_000];

	private int port;

	private EarlyListener early;

	/** Kept, as a client that is garbage collected closes its connections. */
	private NetClient client;

	private Socket sender;

	private Vertx vertx;

	private int turns;

	private long inTurn;

	private long mostInTurn;

	private final CompletableFuture<Long> most = new CompletableFuture<>();

	@BeforeEach
	void open() throws Exception {
		this.port = freePort();
		this.early = EarlyListener.bind(new Address("127.0.0.1", this.port));
		this.vertx = Vertx.builder()
			.with(new VertxOptions().setEventLoopPoolSize(1))
			.withTransport(new EarlyTransport(this.early))
			.build();
	}

	private static int freePort() throws IOException {
		try (ServerSocket free = new ServerSocket(0)) {
			return free.getLocalPort();
		}
	}

	@AfterEach
	void close() throws Exception {
		this.sender.close();
		await(this.vertx.close());
		this.early.close();
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	private void send(Socket socket) {
		this.sender = socket;
		Thread.ofVirtual().start(() -> {
			try (socket; OutputStream out = socket.getOutputStream()) {
				while (true) {
					out.write(BYTES);
				}
			}
			catch (IOException ex) {
				// The other side has closed, which ends the test.
			}
		});
	}

	private void count(NetSocket socket) {
		((NetSocketInternal) socket).channelHandlerContext().pipeline().addFirst(new ChannelInboundHandlerAdapter() {

			@Override
			public void channelRead(ChannelHandlerContext context, Object message) {
				EarlyTransportTests.this.inTurn += ((ByteBuf) message).readableBytes();
				context.fireChannelRead(message);
			}

			@Override
			public void channelReadComplete(ChannelHandlerContext context) {
				onTurnEnded();
				context.fireChannelReadComplete();
			}

		});
		socket.handler((bytes) -> {
		});
	}

	private void onTurnEnded() {
		this.mostInTurn = Math.max(this.mostInTurn, this.inTurn);
		this.inTurn = 0;
		this.turns++;
		if (this.turns == TURNS) {
			this.most.complete(this.mostInTurn);
		}
	}

	private void assertTakesTurns() throws Exception {
		assertThat(this.most.get(20, TimeUnit.SECONDS)).isLessThanOrEqualTo(EarlyTransport.READ_BYTES);
	}

	/**
	 * Guards against a server in trouble that holds up all callers as its bytes are read
	 * without a pause.
	 */
	@Test
	void serverThatSendsOnAndOnTakesTurnsWithOthers() throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			this.client = this.vertx.createNetClient();
			this.client.connect(server.getLocalPort(), "127.0.0.1").onSuccess(this::count);
			send(server.accept());
			assertTakesTurns();
		}
	}

	/** Guards against the same by a caller. */
	@Test
	void callerThatSendsOnAndOnTakesTurnsWithOthers() throws Exception {
		await(this.vertx.createNetServer().connectHandler(this::count).listen(this.port, "127.0.0.1"));
		send(new Socket("127.0.0.1", this.port));
		assertTakesTurns();
	}

}
