package org.gullsaddle.backend;

import java.io.IOException;

import org.gullsaddle.base.Verdict;

/**
 * A backend server did not end its answer.
 */
class BackendException extends IOException {

	private final Verdict verdict;

	BackendException(String message, Verdict verdict, Throwable cause) {
		super(message, cause);
		this.verdict = verdict;
	}

	/**
	 * Says whether the backend server may have run the request.
	 */
	Verdict verdict() {
		return this.verdict;
	}

}
