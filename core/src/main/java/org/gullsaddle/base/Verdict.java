package org.gullsaddle.base;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Whether a request may have run on a backend server.
 */
public enum Verdict {

	/**
	 * No backend server got or will get the request.
	 */
	NOT_RUN("not-run"),

	/**
	 * A backend server may have run the request, completely or in part, or may still run
	 * it.
	 */
	MAY_HAVE_RUN("may-have-run"),

	/**
	 * A backend server ran the request to its end.
	 */
	RAN("ran");

	private final String text;

	Verdict(String text) {
		this.text = text;
	}

	/**
	 * Returns the combined verdict of two attempts of one request.
	 * @param other the verdict of the other attempt
	 * @return the stronger of the two verdicts
	 */
	public Verdict combine(Verdict other) {
		return (compareTo(other) >= 0) ? this : other;
	}

	@JsonValue
	@Override
	public String toString() {
		return this.text;
	}

}
