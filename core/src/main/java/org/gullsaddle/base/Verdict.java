package org.gullsaddle.base;

import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Says whether a request may have run on a backend server.
 */
public enum Verdict {

	/**
	 * No backend server was or will be given the request.
	 */
	NOT_RUN("not-run"),

	/**
	 * A backend server may have run the request, wholly or in part, or may yet run it.
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
	 * Returns the verdict that holds for two attempts of one request together.
	 * @param other the verdict of the other attempt
	 * @return the one that claims more to have happened
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
