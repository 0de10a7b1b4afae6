package org.gullsaddle.entry;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;

import org.gullsaddle.base.Refusal;

/**
 * Writes refusals: the reason, the verdict and when to retry. A refusal contains nothing
 * about other teams.
 */
final class RefusalWriter {

	private static final long MILLIS_PER_SECOND = 1000;

	private RefusalWriter() {
	}

	static void write(Exchange exchange, Refusal refusal, String message) {
		HttpServerResponse response = exchange.context().response();
		if (response.ended() || response.closed()) {
			return;
		}
		response.setStatusCode(refusal.reason().status())
			.putHeader("Content-Type", "application/json")
			.putHeader(Headers.REQUEST_ID, exchange.id().value())
			.putHeader(Headers.VERDICT, refusal.verdict().toString());
		if (refusal.retryAfterMillis() > 0) {
			response.putHeader(Headers.RETRY_AFTER,
					String.valueOf(Math.ceilDiv(refusal.retryAfterMillis(), MILLIS_PER_SECOND)));
		}
		response.end(errorJson(exchange, refusal, message).encode());
	}

	static JsonObject errorJson(Exchange exchange, Refusal refusal, String message) {
		JsonObject error = new JsonObject().put("type", refusal.reason().toString())
			.put("message", message.isEmpty() ? refusal.reason().toString().replace('-', ' ') : message)
			.put("verdict", refusal.verdict().toString())
			.put("request_id", exchange.id().value());
		if (refusal.retryAfterMillis() > 0) {
			error.put("retry_after_ms", refusal.retryAfterMillis());
		}
		return new JsonObject().put("error", error);
	}

}
