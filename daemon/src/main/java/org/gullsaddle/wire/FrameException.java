package org.gullsaddle.wire;

import java.io.IOException;

/**
 * Thrown for a frame that cannot be encoded or decoded, or that the protocol does not
 * allow at this point.
 */
public class FrameException extends IOException {

	/**
	 * Creates an exception.
	 * @param message what is wrong
	 */
	public FrameException(String message) {
		super(message);
	}

	/**
	 * Creates an exception with its cause.
	 * @param message what is wrong
	 * @param cause the cause
	 */
	public FrameException(String message, Throwable cause) {
		super(message, cause);
	}

}
