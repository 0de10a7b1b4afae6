package org.gullsaddle.gateway;

/**
 * A caller's request that cannot be read.
 */
public final class BadRequestException extends Exception {

	/**
	 * Makes an exception.
	 * @param message what is wrong, for the caller
	 */
	public BadRequestException(String message) {
		super(message);
	}

}
