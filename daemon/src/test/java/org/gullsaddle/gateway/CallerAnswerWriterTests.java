package org.gullsaddle.gateway;

import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class CallerAnswerWriterTests {

	private static final String REQUEST = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

	private static final String ANSWER = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n";

	private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));

	private int requests;

	@AfterEach
	void close() throws Exception {
		await(this.vertx.close());
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
	}

	private static Stream<Arguments> late() {
		return Stream.of(Arguments.argumentSet("an abort", (Consumer<CallerAnswerWriter>) CallerAnswerWriter::abort),
				Arguments.argumentSet("an error",
						(Consumer<CallerAnswerWriter>) (writer) -> writer.writeError(502, Optional.empty(), "late")),
				Arguments.argumentSet("an answer",
						(Consumer<CallerAnswerWriter>) (writer) -> writer.writeWhole(500,
								MultiMap.caseInsensitiveMultiMap(), Buffer.buffer("late"))),
				Arguments.argumentSet("a head",
						(Consumer<CallerAnswerWriter>) (writer) -> writer.begin(500,
								MultiMap.caseInsensitiveMultiMap())),
				Arguments.argumentSet("bytes",
						(Consumer<CallerAnswerWriter>) (writer) -> writer.write(Buffer.buffer("late"))),
				Arguments.argumentSet("an end",
						(Consumer<CallerAnswerWriter>) (writer) -> writer.end(Buffer.buffer("late"))));
	}

	/** Answers with the request's number, then does what comes late. */
	private void answer(HttpServerRequest request, Consumer<CallerAnswerWriter> late) {
		this.requests++;
		CallerAnswerWriter writer = new CallerAnswerWriter(request.response(), () -> false);
		writer.writeWhole(200, MultiMap.caseInsensitiveMultiMap(), Buffer.buffer("" + this.requests));
		try {
			late.accept(writer);
		}
		catch (IllegalStateException ex) {
			assertThat(request.response().ended()).isTrue();
		}
	}

	/** Guards against bytes after an answer, which a caller takes for its next one. */
	@ParameterizedTest
	@MethodSource("late")
	void nothingFollowsAWholeAnswer(Consumer<CallerAnswerWriter> late) throws Exception {
		HttpServer server = await(this.vertx.createHttpServer()
			.requestHandler((request) -> answer(request, late))
			.listen(0, "127.0.0.1"));
		try (Socket caller = new Socket("127.0.0.1", server.actualPort())) {
			for (int i = 1; i <= 3; i++) {
				caller.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
				assertThat(read(caller.getInputStream())).isEqualTo(ANSWER + i);
			}
		}
	}

	private static String read(InputStream from) throws Exception {
		return new String(from.readNBytes(ANSWER.length() + 1), StandardCharsets.US_ASCII);
	}

}
