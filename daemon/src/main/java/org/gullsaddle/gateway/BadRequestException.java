package org.gullsaddle.gateway;

/**
 * Thrown if a caller's request cannot be parsed.
 */
public final class BadRequestException extends Exception {

	/**
	 * Creates an exception.
	 * @param message the cause, for the caller
	 */
	public BadRequestException(String message) {
		super(message);
	}

}
