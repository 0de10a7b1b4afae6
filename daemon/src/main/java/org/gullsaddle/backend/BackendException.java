package org.gullsaddle.backend;

import java.io.IOException;

import org.gullsaddle.base.Verdict;

/**
 * Thrown when a backend server did not complete its answer.
 */
class BackendException extends IOException {

	private final Verdict verdict;

	BackendException(String message, Verdict verdict, Throwable cause) {
		super(message, cause);
		this.verdict = verdict;
	}

	/**
	 * Returns whether the backend server may have run the request.
	 */
	Verdict verdict() {
		return this.verdict;
	}

}
