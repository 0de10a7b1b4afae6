package org.gullsaddle.backend;

import java.net.URI;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.gullsaddle.store.RawServer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class BackendHttpTests {

	private static final long TIMEOUT_MILLIS = 20_000;

	/** Bytes that both calls take of answers without end, with those in the sockets. */
	private static final long MOST_BYTES = 120_000_000;

	private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));

	@AfterEach
	void close() throws Exception {
		await(this.vertx.close());
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	private BackendHttp http(String head) throws Exception {
		RawServer server = new RawServer(this.vertx, head + "\r\n\r\ndone");
		return new BackendHttp(io.vertx.rxjava3.core.Vertx.newInstance(this.vertx),
				URI.create("http://127.0.0.1:" + await(server.listen())), 1);
	}

	private static Single<String> send(BackendHttp http) {
		return http.send(HttpMethod.POST, "/", "text/plain", "", Buffer.buffer("body"))
			.concatMap((response) -> response.rxBody().toFlowable())
			.map((body) -> body.toString())
			.firstOrError()
			.timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	/** Guards against a call that is served by what is no answer. */
	@ParameterizedTest
	@ValueSource(
			strings = { "HTTP/1.1 +200 OK", "HTTP/1.1 200 OK\r\nX Mark: 1", "HTTP/1.1 200 OK\r\nContent-Length : 3" })
	void callFails(String head) throws Exception {
		BackendHttp http = http(head);
		assertThatThrownBy(() -> send(http).blockingGet()).hasMessageContaining("answer is not HTTP");
		assertThatThrownBy(() -> http.get("/health").blockingGet()).hasMessageContaining("answer is not HTTP");
	}

	/** Guards against an answer that fills the memory. */
	@Test
	void answersWithoutEndAreNotRead() throws Exception {
		RawServer server = new RawServer(this.vertx, "HTTP/1.1 200 OK\r\n\r\n", "x");
		BackendHttp http = new BackendHttp(io.vertx.rxjava3.core.Vertx.newInstance(this.vertx),
				URI.create("http://127.0.0.1:" + await(server.listen())), 1);
		assertThatThrownBy(() -> send(http).blockingGet()).hasMessageContaining("larger than");
		assertThatThrownBy(() -> http.get("/health").blockingGet()).hasMessageContaining("larger than");
		assertThat(server.sentBytes()).isLessThan(MOST_BYTES);
	}

	@Test
	void soundAnswerIsRead() throws Exception {
		assertThat(send(http("HTTP/1.1 200 OK")).blockingGet()).isEqualTo("done");
	}

}
