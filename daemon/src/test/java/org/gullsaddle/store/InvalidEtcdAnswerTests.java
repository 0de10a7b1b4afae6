package org.gullsaddle.store;

import java.net.URI;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.gullsaddle.store.Store.Put;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class InvalidEtcdAnswerTests {

	private static final long TIMEOUT_MILLIS = 20_000;

	/** Bytes that both calls take of answers without end, with those in the sockets. */
	private static final long MOST_BYTES = 60_000_000;

	private static final String BODY = "{\"header\":{\"revision\":\"7\"},\"succeeded\":true}";

	private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));

	@AfterEach
	void close() throws Exception {
		await(this.vertx.close());
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	private EtcdStore store(String head) throws Exception {
		RawServer server = new RawServer(this.vertx, head + "\r\n\r\n" + BODY);
		return new EtcdStore(io.vertx.rxjava3.core.Vertx.newInstance(this.vertx),
				URI.create("http://127.0.0.1:" + await(server.listen())), TIMEOUT_MILLIS);
	}

	/** Guards against a write that counts as done by what is no answer. */
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 +200 OK", "HTTP/1.1  200 OK", "HTTP/1.1 200 OK\r\nX Mark: 1",
			"HTTP/1.1 200 OK\r\nContent-Length : 44", "HTTP/1.1 200 OK\r\nContent-Length: 44, 44" })
	void callFails(String head) throws Exception {
		EtcdStore store = store(head);
		assertThatThrownBy(() -> store.write("a", 1, List.of(new Put("b", "c"))).blockingGet()).cause()
			.isInstanceOfSatisfying(StoreException.class, (failure) -> assertThat(failure.unknown()).isTrue());
		assertThatThrownBy(() -> store.watch("a", 1).blockingFirst()).cause().isInstanceOf(StoreException.class);
	}

	/** Guards against an answer that fills the memory. */
	@Test
	void answerWithoutEndIsNotRead() throws Exception {
		RawServer server = new RawServer(this.vertx, "HTTP/1.1 200 OK\r\n\r\n{", " ");
		EtcdStore store = new EtcdStore(io.vertx.rxjava3.core.Vertx.newInstance(this.vertx),
				URI.create("http://127.0.0.1:" + await(server.listen())), TIMEOUT_MILLIS);
		assertThatThrownBy(() -> store.get("a").blockingGet()).cause().isInstanceOf(StoreException.class);
		assertThatThrownBy(() -> store.watch("a", 1).timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).blockingFirst())
			.cause()
			.isInstanceOf(StoreException.class);
		assertThat(server.sentBytes()).isLessThan(MOST_BYTES);
	}

	@Test
	void soundAnswerWithoutALengthIsRead() throws Exception {
		assertThat(store("HTTP/1.1 200 OK").write("a", 1, List.of(new Put("b", "c"))).blockingGet()).contains(7L);
	}

}
