package org.gullsaddle.fuzz;

import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.Dispatch;
import org.gullsaddle.base.RequestId;
import org.gullsaddle.template.TemplateRevision;

/**
 * A message between nodes that is not an action of an agent.
 */
sealed interface Message {

	/**
	 * Dispatches an attempt to an agent.
	 */
	record Dispatched(Dispatch dispatch) implements Message {
	}

	/**
	 * Cancels an attempt.
	 */
	record Cancel(AttemptId attempt) implements Message {
	}

	/**
	 * Carries a revision of the template.
	 */
	record Revision(TemplateRevision revision) implements Message {
	}

	/**
	 * Confirms that the entry holds a copy of an attempt's record.
	 */
	record CopyHeld(AttemptId attempt) implements Message {
	}

	/**
	 * Reports that a request's record is in the store.
	 */
	record Recorded(RequestId request) implements Message {
	}

	/**
	 * Reports that the copy of an attempt's record is no longer needed.
	 */
	record Release(RequestId request) implements Message {
	}

}
