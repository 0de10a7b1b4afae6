package org.gullsaddle.fuzz;

import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.Dispatch;
import org.gullsaddle.base.RequestId;
import org.gullsaddle.template.TemplateRevision;

/**
 * What nodes send each other beside the actions of an agent.
 */
sealed interface Message {

	/**
	 * An attempt.
	 */
	record Dispatched(Dispatch dispatch) implements Message {
	}

	/**
	 * Stop an attempt.
	 */
	record Cancel(AttemptId attempt) implements Message {
	}

	/**
	 * A revision of the template.
	 */
	record Revision(TemplateRevision revision) implements Message {
	}

	/**
	 * A copy of an attempt's line is held.
	 */
	record CopyHeld(AttemptId attempt) implements Message {
	}

	/**
	 * A request's record is in the store.
	 */
	record Recorded(RequestId request) implements Message {
	}

	/**
	 * An agent tells that a copy need not be held any more.
	 */
	record Release(RequestId request) implements Message {
	}

}
