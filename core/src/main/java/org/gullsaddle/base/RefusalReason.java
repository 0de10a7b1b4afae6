package org.gullsaddle.base;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Why a request was not served, with the HTTP status that the caller gets.
 */
public enum RefusalReason {

	/** The key is unknown. */
	UNAUTHENTICATED("unauthenticated", 401),
	/** The template does not exist or is not for this team; callers cannot tell which. */
	NO_TEMPLATE("no-template", 404),
	/** The request is malformed. */
	INVALID("invalid-request", 400),
	/** The body is larger than the limit. */
	TOO_LARGE("too-large", 413),
	/** A non-repeatable call came without its idempotency key. */
	KEY_REQUIRED("idempotency-key-required", 400),
	/** The same idempotency key was used with different content. */
	KEY_REUSED("idempotency-key-reused", 422),
	/**
	 * An earlier request with this idempotency key is running, or its result is unknown.
	 */
	KEY_IN_USE("idempotency-key-in-use", 409),
	/** The team's allowance is used up for now. */
	ALLOWANCE("allowance-used-up", 429),
	/** No version that the team may use is available now. */
	NO_VERSION("no-version-available", 503),
	/** The queue is too long for the deadline. */
	OVERLOADED("overloaded", 503),
	/** This node is stopping. */
	STOPPING("stopping", 503),
	/** The backend server is leaving. */
	LEAVING("backend-leaving", 503),
	/** The configuration forbids the request, or is not known yet. */
	FORBIDDEN("version-forbidden", 503),
	/** The request needs the platform's store, which is unreachable. */
	STORE_UNAVAILABLE("store-unavailable", 503),
	/** The deadline passed. */
	DEADLINE("deadline-exceeded", 504),
	/** The backend server failed. */
	BACKEND_FAILED("backend-failed", 502),
	/** The request's content is blocked, as it crashed backend servers. */
	POISON("request-crashes-backends", 422),
	/** The caller disconnected. */
	CALLER_GONE("caller-gone", 499);

	private final String text;

	private final int status;

	RefusalReason(String text, int status) {
		this.text = text;
		this.status = status;
	}

	/**
	 * Returns the HTTP status for this reason.
	 * @return the status code
	 */
	public int status() {
		return this.status;
	}

	@JsonValue
	@Override
	public String toString() {
		return this.text;
	}

}
