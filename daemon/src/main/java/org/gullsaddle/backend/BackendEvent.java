package org.gullsaddle.backend;

import org.gullsaddle.base.Completion;

/**
 * An event of a backend server's answer.
 */
sealed interface BackendEvent {

	/**
	 * A chunk of the answer's text.
	 */
	record Chunk(String text) implements BackendEvent {
	}

	/**
	 * The end of the answer.
	 */
	record End(Completion completion) implements BackendEvent {
	}

}
