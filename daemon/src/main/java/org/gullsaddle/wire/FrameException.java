package org.gullsaddle.wire;

import java.io.IOException;

/**
 * A frame that cannot be read, or that the protocol does not allow where it came.
 */
public class FrameException extends IOException {

	/**
	 * Makes an exception.
	 * @param message what is wrong
	 */
	public FrameException(String message) {
		super(message);
	}

	/**
	 * Makes an exception with its cause.
	 * @param message what is wrong
	 * @param cause the cause
	 */
	public FrameException(String message, Throwable cause) {
		super(message, cause);
	}

}
