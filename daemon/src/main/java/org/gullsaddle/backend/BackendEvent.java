package org.gullsaddle.backend;

import org.gullsaddle.base.Completion;

/**
 * What a backend server answers.
 */
sealed interface BackendEvent {

	/**
	 * A part of the answer.
	 */
	record Chunk(String text) implements BackendEvent {
	}

	/**
	 * The answer's end.
	 */
	record End(Completion completion) implements BackendEvent {
	}

}
