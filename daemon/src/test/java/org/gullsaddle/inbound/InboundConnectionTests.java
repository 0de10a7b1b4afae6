package org.gullsaddle.inbound;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.gullsaddle.hold.BufferBudget;

import static org.assertj.core.api.Assertions.assertThat;

class InboundConnectionTests {

	private static final int MEMORY_BYTES = 2_000_000;

	private static final int HEAD_BYTES = 8192;

	private static final int MAX_CONNECTIONS = 4;

	private static final String GET = "GET / HTTP/1.1\r\nHost: x\r\n";

	private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));

	private final BufferBudget budget = new BufferBudget(MEMORY_BYTES);

	private final List<Rejection> rejections = new CopyOnWriteArrayList<>();

	private final List<HttpServerRequest> waiting = new CopyOnWriteArrayList<>();

	private int port;

	@BeforeEach
	void listen() throws Exception {
		InboundConnections inbound = InboundConnections.builder(this.budget)
			.limits(() -> new InboundLimits(HEAD_BYTES, 300, 600))
			.maxConnections(MAX_CONNECTIONS)
			.onRejected(this.rejections::add)
			.build();
		HttpServer server = this.vertx.createHttpServer(new HttpServerOptions().setHttp2ClearTextEnabled(false))
			.connectionHandler(inbound::onOpened)
			.requestHandler(this::serve);
		this.vertx.setPeriodic(50, (timer) -> inbound.check());
		this.port = await(server.listen(0, "127.0.0.1")).actualPort();
	}

	private void serve(HttpServerRequest request) {
		if (request.path().equals("/wait")) {
			this.waiting.add(request);
		}
		else {
			request.body().onSuccess((body) -> request.response().end(request.path() + body.length()));
		}
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
	}

	@AfterEach
	void close() throws Exception {
		await(this.vertx.close());
	}

	private Socket connect() throws IOException {
		Socket socket = new Socket("127.0.0.1", this.port);
		socket.setSoTimeout(20_000);
		return socket;
	}

	private static void send(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
	}

	/**
	 * Reads until the server closes the connection.
	 */
	private static String readAll(Socket socket) throws IOException {
		return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
	}

	private String exchange(String request) throws IOException {
		try (Socket socket = connect()) {
			send(socket, request);
			return readAll(socket);
		}
	}

	/** Guards against clients that keep a connection without sending a request. */
	@ParameterizedTest
	@CsvSource({ "GET / HTTP/1.1, 408", "'\r\n\r\n', 408", "'GET / HTTP/1.1\r\nContent-Length: 9\r\n\r\nx', 408" })
	void requestThatDoesNotComeIsRefused(String start, int status) throws IOException {
		assertThat(exchange(start)).startsWith("HTTP/1.1 " + status).contains("Connection: close");
	}

	@Test
	void idleConnectionIsClosedWithoutAnAnswer() throws IOException {
		assertThat(exchange("")).isEmpty();
		assertThat(this.rejections).containsExactly(Rejection.IDLE);
	}

	@Test
	void headOverTheLimitIsRefused() throws IOException {
		assertThat(exchange(GET + "a: " + "b".repeat(HEAD_BYTES))).startsWith("HTTP/1.1 431");
		assertThat(this.rejections).containsExactly(Rejection.HEAD_TOO_LARGE);
	}

	@Test
	void malformedChunkIsRefused() throws IOException {
		assertThat(exchange("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n")).startsWith("HTTP/1.1 400");
	}

	@Test
	void requestsSentAheadAreAnsweredInOrder() throws IOException {
		String chunked = "POST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x\r\nab\r\n0\r\nc: d\r\n\r\n";
		String sized = "\r\nPOST /c HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc";
		String answers = exchange("GET /a HTTP/1.1\r\n\r\n" + chunked + sized + GET + "Connection: close\r\n\r\n");
		assertThat(answers).containsSubsequence("/a0", "/b2", "/c3", "/0");
	}

	/** Guards against chunks that count for more than the bytes that are kept of them. */
	@Test
	void bodyInChunksOfOneByteIsServed() throws IOException {
		int bytes = 300_000;
		String head = "POST /b HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
		assertThat(exchange(head + "1\r\nx\r\n".repeat(bytes) + "0\r\n\r\n")).endsWith("/b" + bytes);
	}

	/** Guards against memory that is counted for ever. */
	@Test
	void nothingIsHeldAfterTheAnswer() throws Exception {
		exchange(GET + "a:\r\n".repeat(1000) + "Connection: close\r\n\r\n");
		exchange(GET);
		assertThat(await(this.vertx.executeBlocking(this.budget::bufferedBytes))).isZero();
	}

	/** Guards against requests that run though memory is short, and against lost ones. */
	@Test
	void largeHeadsAreRefusedWhileOthersUseTheMemory() throws Exception {
		String head = "GET /wait HTTP/1.1\r\n" + "a:\r\n".repeat(2000) + "\r\n";
		try (Socket first = connect(); Socket second = connect(); Socket third = connect()) {
			for (Socket socket : List.of(first, second, third)) {
				send(socket, head);
			}
			assertThat(readRefused(List.of(first, second, third))).startsWith("HTTP/1.1 503").contains("Retry-After");
			assertThat(exchange(GET + "Connection: close\r\n\r\n")).startsWith("HTTP/1.1 200");
		}
	}

	private String readRefused(List<Socket> sockets) throws Exception {
		for (int attempt = 0; attempt < 1000; attempt++) {
			for (Socket socket : sockets) {
				if (socket.getInputStream().available() > 0) {
					return readAll(socket);
				}
			}
			Thread.sleep(10);
		}
		return "none was refused";
	}

	/** Guards against a few large bodies for which all other requests are refused. */
	@Test
	void smallRequestsAreServedBesideLargeBodies() throws Exception {
		String head = "POST /wait HTTP/1.1\r\nContent-Length: 690000\r\n\r\n";
		try (Socket first = connect(); Socket second = connect()) {
			for (Socket socket : List.of(first, second)) {
				send(socket, head + "x".repeat(690_000));
			}
			for (int attempt = 0; attempt < 1000 && waitingAndReceived() < 2; attempt++) {
				Thread.sleep(10);
			}
			assertThat(exchange(GET + "Connection: close\r\n\r\n")).startsWith("HTTP/1.1 200");
		}
	}

	private long waitingAndReceived() {
		return this.waiting.stream().filter(HttpServerRequest::isEnded).count();
	}

	/** Guards against clients that take all connections and send nothing. */
	@Test
	void newConnectionReplacesAnIdleOne() throws Exception {
		try (Socket first = connect(); Socket second = connect(); Socket third = connect(); Socket fourth = connect()) {
			assertThat(exchange(GET + "Connection: close\r\n\r\n")).startsWith("HTTP/1.1 200");
			assertThat(readAll(first)).isEmpty();
		}
	}

}
