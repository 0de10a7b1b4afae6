package org.gullsaddle.agent;

import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.Completion;
import org.gullsaddle.base.Dispatch;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.base.Refusal;
import org.gullsaddle.base.Usage;
import org.gullsaddle.base.Verdict;
import org.gullsaddle.ledger.AgentRecord;
import org.gullsaddle.suspect.SuspectContent;

/**
 * Something that {@link Admission} wants done.
 */
public sealed interface AdmissionAction {

	/**
	 * Hand an attempt to the backend server.
	 *
	 * @param dispatch the attempt
	 * @param deadline when to give up, in milliseconds on the agent's clock
	 */
	record Start(Dispatch dispatch, long deadline) implements AdmissionAction {
	}

	/**
	 * Stop an attempt that the backend server has; answered by
	 * {@link AdmissionEvent.BackendFailed}.
	 *
	 * @param attempt the attempt
	 */
	record Abort(AttemptId attempt) implements AdmissionAction {
	}

	/**
	 * Tell the entry that an attempt is queued or running.
	 *
	 * @param entry the entry
	 * @param attempt the attempt
	 * @param ahead how many go before it
	 */
	record Accept(NodeId entry, AttemptId attempt, int ahead) implements AdmissionAction {
	}

	/**
	 * Tell the entry that an attempt was not and will not be run.
	 *
	 * @param entry the entry
	 * @param attempt the attempt
	 * @param refusal why; its verdict is not run
	 */
	record Refuse(NodeId entry, AttemptId attempt, Refusal refusal) implements AdmissionAction {
	}

	/**
	 * Send a part of an answer.
	 *
	 * @param entry the entry
	 * @param attempt the attempt
	 * @param offset how many characters of the whole answer come before it
	 * @param text the part
	 */
	record SendChunk(NodeId entry, AttemptId attempt, long offset, String text) implements AdmissionAction {
	}

	/**
	 * Close an answer.
	 *
	 * @param entry the entry
	 * @param attempt the attempt
	 * @param completion how it closed
	 * @param length how many characters the whole answer has
	 */
	record SendDone(NodeId entry, AttemptId attempt, Completion completion, long length) implements AdmissionAction {
	}

	/**
	 * Tell the entry that an attempt broke off.
	 *
	 * @param entry the entry
	 * @param attempt the attempt
	 * @param verdict whether it may have run
	 * @param crashed whether the backend server died
	 * @param usage the tokens used as far as known
	 */
	record SendFailed(NodeId entry, AttemptId attempt, Verdict verdict, boolean crashed,
			Usage usage) implements AdmissionAction {
	}

	/**
	 * Keep the line of an attempt that was handed to the backend server, until the entry
	 * has the request's record in the store, or to write it if the entry is lost.
	 *
	 * @param line the line
	 */
	record HoldLine(AgentRecord line) implements AdmissionAction {
	}

	/**
	 * Have another entry hold a copy of an attempt's line; answered by
	 * {@link AdmissionEvent.CopyHeld}.
	 *
	 * @param holder the other entry
	 * @param line the line
	 */
	record CopyLine(NodeId holder, AgentRecord line) implements AdmissionAction {
	}

	/**
	 * Tell every entry that an attempt ran when the backend server crashed.
	 *
	 * @param suspicion what is known against its content
	 */
	record AnnounceSuspect(SuspectContent suspicion) implements AdmissionAction {
	}

	/**
	 * Tell every entry that the backend server takes no new work.
	 */
	record AnnounceLeaving() implements AdmissionAction {
	}

	/**
	 * Nothing runs or waits any more; the agent may exit.
	 */
	record Drained() implements AdmissionAction {
	}

}
