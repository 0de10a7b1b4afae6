package org.gullsaddle.store;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.gullsaddle.store.Store.Put;

import static org.assertj.core.api.Assertions.assertThat;

class EtcdStoreTests {

	private static final int LONGEST_ANSWER_BYTES = 200;

	/** The guard whose condition holds for no write. */
	private static final String TAKEN = "taken";

	/** Longer than an event loop may stand still on a busy machine, in milliseconds. */
	private static final long TIMEOUT_MILLIS = 20_000;

	private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));

	private final StutteringServer server = new StutteringServer(this.vertx, EtcdStoreTests::answer);

	private EtcdStore store;

	@BeforeEach
	void open() throws Exception {
		this.store = new EtcdStore(io.vertx.rxjava3.core.Vertx.newInstance(this.vertx),
				URI.create("http://127.0.0.1:" + await(this.server.listen())), TIMEOUT_MILLIS);
	}

	@AfterEach
	void close() throws Exception {
		await(this.vertx.close());
	}

	private static <T> T await(Future<T> future) throws Exception {
		return future.toCompletionStage().toCompletableFuture().get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	private static String encode(String text) {
		return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
	}

	private static String answer(String call, int number) {
		String header = "\"header\":{\"revision\":\"" + number + "\"}";
		if (call.contains("/v3/kv/txn")) {
			return "{" + header + (call.contains(encode(TAKEN)) ? "}" : ",\"succeeded\":true}");
		}
		return "{" + header + ",\"kvs\":[{\"key\":\"" + encode("a") + "\",\"mod_revision\":\"" + number + "\"}]}";
	}

	private void check(List<String> mixed, String call, String answer, Single<String> told) throws Exception {
		int calls = this.server.calls();
		CompletableFuture<String> outcome = new CompletableFuture<>();
		this.vertx
			.runOnContext((nothing) -> told.subscribe(outcome::complete, (failure) -> outcome.complete("" + failure)));
		String text = outcome.get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		if (this.server.calls() != calls + 1 || !text.equals(String.format(answer, this.server.calls()))) {
			mixed.add(call + " was told " + text);
		}
	}

	private Single<String> write(String guard) {
		return this.store.write(guard, 1, List.of(new Put("b", "c")))
			.map((done) -> done.map((revision) -> "done@" + revision).orElse("refused"));
	}

	private List<String> mixedCalls() throws Exception {
		List<String> mixed = new ArrayList<>();
		check(mixed, "write", "done@%d", write("free"));
		check(mixed, "refused write", "refused", write(TAKEN));
		check(mixed, "get", "a@%d", this.store.get("a")
			.map((found) -> found.map((value) -> value.key() + "@" + value.revision()).orElse("")));
		check(mixed, "refused write", "refused", write(TAKEN));
		check(mixed, "list", "1@%d",
				this.store.list("a", "", 1).map((list) -> list.values().size() + "@" + list.revision()));
		return mixed;
	}

	/**
	 * Guards against a call that is told another call's answer, so that a write counts as
	 * done that was not.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void repeatedAnswerIsNotTheNextCalls(boolean afterTheNextCall) throws Exception {
		List<String> mixed = new ArrayList<>();
		for (int bytes = 1; bytes <= LONGEST_ANSWER_BYTES; bytes++) {
			this.server.repeat(bytes, afterTheNextCall);
			mixed.addAll(mixedCalls());
		}
		assertThat(mixed).isEmpty();
	}

}
