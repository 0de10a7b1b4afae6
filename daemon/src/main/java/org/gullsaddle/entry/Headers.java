package org.gullsaddle.entry;

/**
 * Names of the HTTP headers of the caller API.
 */
final class Headers {

	static final String REQUEST_ID = "X-Request-Id";

	static final String SERVED_BY = "X-Served-By";

	static final String VERDICT = "X-Verdict";

	static final String COST = "X-Cost-Microdollars";

	static final String SESSION_ID = "X-Session-Id";

	static final String SESSION_TOKEN = "X-Session-Token";

	static final String TIMEOUT = "X-Request-Timeout-Ms";

	static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	static final String RETRY_AFTER = "Retry-After";

	private Headers() {
	}

}
