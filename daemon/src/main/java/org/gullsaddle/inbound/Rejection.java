package org.gullsaddle.inbound;

import java.util.Locale;

/**
 * Why a connection is closed, and the status of the refusal that is sent before.
 */
public enum Rejection {

	/** The head is larger than the limit. */
	HEAD_TOO_LARGE(431),

	/** The head is not complete in time. */
	HEAD_TOO_SLOW(408),

	/** The rest of the body does not come. */
	BODY_TOO_SLOW(408),

	/** The body's framing cannot be parsed. */
	MALFORMED(400),

	/** There is no memory left for the request. */
	OUT_OF_MEMORY(503),

	/** There are too many connections. */
	TOO_MANY_CONNECTIONS(0),

	/** The connection was not used for long. */
	IDLE(0),

	/** The client does not read its answer, or does not close after the last one. */
	UNREAD_ANSWER(0);

	private final int status;

	Rejection(int status) {
		this.status = status;
	}

	/**
	 * Returns the status of the refusal.
	 * @return the status, 0 if the connection is closed without one
	 */
	int status() {
		return this.status;
	}

	/**
	 * Returns its name in logs and metrics.
	 * @return the name
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '.');
	}

}
