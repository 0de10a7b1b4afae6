package org.gullsaddle.entry;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.store.RawServer;
import org.gullsaddle.store.StutteringServer;

import static org.assertj.core.api.Assertions.assertThat;

class RatingClientTests {

	private static final int LONGEST_ANSWER_BYTES = 120;

	/** Longer than an event loop may stand still on a busy machine, in milliseconds. */
	private static final long TIMEOUT_MILLIS = 20_000;

	/** Bytes that a client takes of an answer without end, with those in the sockets. */
	private static final long MOST_BYTES = 20_000_000;

	private static final double ONE_THOUSANDTH = 0.001;

	private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));

	private final StutteringServer server = new StutteringServer(this.vertx,
			(call, number) -> "{\"score\":" + number * ONE_THOUSANDTH + "}");

	private RatingClient client;

	@BeforeEach
	void open() throws Exception {
		this.client = new RatingClient(io.vertx.rxjava3.core.Vertx.newInstance(this.vertx),
				Optional.of(URI.create("http://127.0.0.1:" + await(this.server.listen()) + "/")), TIMEOUT_MILLIS);
	}

	@AfterEach
	void close() throws Exception {
		await(this.vertx.close());
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	private OptionalDouble rating() throws Exception {
		CompletableFuture<OptionalDouble> rating = new CompletableFuture<>();
		this.vertx.runOnContext((nothing) -> this.client.rate(ModelVersion.of("m@1"), "p", "a")
			.subscribe(rating::complete, rating::completeExceptionally));
		return rating.get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	/** Guards against a score in what is no answer. */
	@ParameterizedTest
	@ValueSource(
			strings = { "HTTP/1.1 +200 OK", "HTTP/1.1 200 OK\r\nX Mark: 1", "HTTP/1.1 200 OK\r\nContent-Length : 13" })
	void scoreOfAnInvalidAnswerIsNone(String head) throws Exception {
		RawServer raw = new RawServer(this.vertx, head + "\r\n\r\n{\"score\":0.5}");
		this.client = new RatingClient(io.vertx.rxjava3.core.Vertx.newInstance(this.vertx),
				Optional.of(URI.create("http://127.0.0.1:" + await(raw.listen()) + "/")), TIMEOUT_MILLIS);
		assertThat(rating()).isEmpty();
	}

	/** Guards against an answer that fills the memory. */
	@Test
	void scoreWithoutEndIsNone() throws Exception {
		RawServer raw = new RawServer(this.vertx, "HTTP/1.1 200 OK\r\n\r\n{", " ");
		this.client = new RatingClient(io.vertx.rxjava3.core.Vertx.newInstance(this.vertx),
				Optional.of(URI.create("http://127.0.0.1:" + await(raw.listen()) + "/")), TIMEOUT_MILLIS);
		assertThat(rating()).isEmpty();
		assertThat(raw.sentBytes()).isLessThan(MOST_BYTES);
	}

	/** Guards against an answer that is rated by another one's score. */
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void repeatedScoreIsNotTheNextOne(boolean afterTheNextCall) throws Exception {
		List<String> mixed = new ArrayList<>();
		for (int bytes = 1; bytes <= LONGEST_ANSWER_BYTES; bytes++) {
			this.server.repeat(bytes, afterTheNextCall);
			OptionalDouble rating = rating();
			if (!rating.equals(OptionalDouble.of(this.server.calls() * ONE_THOUSANDTH))) {
				mixed.add(rating + " instead of " + this.server.calls());
			}
		}
		assertThat(mixed).isEmpty();
	}

}
