package org.gullsaddle.outbound;

import java.io.IOException;

/**
 * Thrown if what a server sends is not an HTTP answer.
 */
final class InvalidAnswerException extends IOException {

	private static final long serialVersionUID = 1L;

	InvalidAnswerException(String message) {
		super("answer is not HTTP: " + message);
	}

}
