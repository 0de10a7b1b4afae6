package org.gullsaddle.store;

import java.io.IOException;

/**
 * A call that the store did not answer as it should.
 */
public class StoreException extends IOException {

	private final boolean unknown;

	/**
	 * Makes an exception.
	 * @param message what went wrong
	 * @param unknown whether a write may have taken effect, or may yet
	 * @param cause the cause, or null
	 */
	public StoreException(String message, boolean unknown, Throwable cause) {
		super(message, cause);
		this.unknown = unknown;
	}

	/**
	 * Says whether a write may have taken effect, or may yet.
	 * @return true unless the store surely refused it
	 */
	public boolean unknown() {
		return this.unknown;
	}

}
