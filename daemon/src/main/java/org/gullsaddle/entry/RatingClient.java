package org.gullsaddle.entry;

import java.net.URI;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.client.WebClientOptions;
import io.vertx.rxjava3.core.Vertx;
import io.vertx.rxjava3.ext.web.client.WebClient;

import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.outbound.AnswerValidator;

/**
 * Client of the platform's rating service. Thread-safe.
 */
final class RatingClient {

	private static final long TIMEOUT_MILLIS = 2000;

	/** Largest answer, in bytes: a score needs a few. */
	private static final long MAX_ANSWER_BYTES = 65_536;

	private final WebClient client;

	private final Optional<URI> url;

	private final long timeoutMillis;

	RatingClient(Vertx vertx, Optional<URI> url) {
		this(vertx, url, TIMEOUT_MILLIS);
	}

	RatingClient(Vertx vertx, Optional<URI> url, long timeoutMillis) {
		this.url = url;
		this.timeoutMillis = timeoutMillis;
		// Nothing in an answer names its call, so a late second one would rate another.
		this.client = AnswerValidator.createWebClient(vertx, new WebClientOptions(), MAX_ANSWER_BYTES);
	}

	/**
	 * Rates an answer. The result is empty if there is no rating service, or no valid
	 * score arrives in time.
	 */
	Single<OptionalDouble> rate(ModelVersion version, String prompt, String answer) {
		if (this.url.isEmpty()) {
			return Single.just(OptionalDouble.empty());
		}
		JsonObject body = new JsonObject().put("version", version.toString())
			.put("prompt", prompt)
			.put("answer", answer);
		return this.client.postAbs(this.url.get().toString())
			.rxSendJsonObject(body)
			.timeout(this.timeoutMillis, TimeUnit.MILLISECONDS)
			.map((response) -> parseScore(response.bodyAsJsonObject()))
			.onErrorReturnItem(OptionalDouble.empty());
	}

	private static OptionalDouble parseScore(JsonObject answer) {
		Double score = answer.getDouble("score");
		return (score != null && score >= 0 && score <= 1) ? OptionalDouble.of(score) : OptionalDouble.empty();
	}

}
