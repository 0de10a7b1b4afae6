package org.gullsaddle.inbound;

/**
 * Thrown if the framing of a body cannot be parsed.
 */
final class MalformedBodyException extends Exception {

	private static final long serialVersionUID = 1L;

	MalformedBodyException(String message) {
		super(message);
	}

}
