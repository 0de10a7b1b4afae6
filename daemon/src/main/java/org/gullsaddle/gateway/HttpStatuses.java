package org.gullsaddle.gateway;

/**
 * HTTP status codes and their meaning for a caller.
 */
final class HttpStatuses {

	static final int OK = 200;

	static final int BAD_REQUEST = 400;

	static final int UNAUTHORIZED = 401;

	static final int NOT_FOUND = 404;

	static final int CONTENT_TOO_LARGE = 413;

	static final int BAD_GATEWAY = 502;

	static final int SERVICE_UNAVAILABLE = 503;

	static final int GATEWAY_TIMEOUT = 504;

	private static final int FIRST_SUCCESS = 200;

	private static final int LAST_SUCCESS = 299;

	private static final int REQUEST_TIMEOUT = 408;

	static final int MISDIRECTED = 421;

	private static final int TOO_MANY_REQUESTS = 429;

	private HttpStatuses() {
	}

	static boolean isSuccess(int status) {
		return status >= FIRST_SUCCESS && status <= LAST_SUCCESS;
	}

	/**
	 * Returns whether callers take a status as a promise that the request did not and
	 * will not run.
	 */
	static boolean promisesNotRun(int status) {
		return status == SERVICE_UNAVAILABLE || status == REQUEST_TIMEOUT || status == MISDIRECTED
				|| status == TOO_MANY_REQUESTS;
	}

}
