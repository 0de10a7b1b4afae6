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
 * An action that {@link Admission} has decided on, to be carried out by its caller.
 */
public sealed interface AdmissionAction {

	/**
	 * Send an attempt to the backend server.
	 *
	 * @param dispatch the attempt
	 * @param deadline the deadline, in milliseconds on the agent's clock
	 */
	record Start(Dispatch dispatch, long deadline) implements AdmissionAction {
	}

	/**
	 * Abort an attempt that runs on the backend server. Answered by
	 * {@link AdmissionEvent.AttemptFailed}.
	 *
	 * @param attempt the attempt
	 */
	record Abort(AttemptId attempt) implements AdmissionAction {
	}

	/**
	 * Report to the entry that an attempt is queued or running.
	 *
	 * @param entry the entry
	 * @param attempt the attempt
	 * @param ahead the number of queued attempts before it
	 */
	record Accept(NodeId entry, AttemptId attempt, int ahead) implements AdmissionAction {
	}

	/**
	 * Report to the entry that an attempt was not run and will not be.
	 *
	 * @param entry the entry
	 * @param attempt the attempt
	 * @param refusal why; its verdict is not run
	 */
	record Refuse(NodeId entry, AttemptId attempt, Refusal refusal) implements AdmissionAction {
	}

	/**
	 * Send a part of an answer to the entry.
	 *
	 * @param entry the entry
	 * @param attempt the attempt
	 * @param offset the number of characters of the whole answer before it
	 * @param text the text
	 */
	record SendChunk(NodeId entry, AttemptId attempt, long offset, String text) implements AdmissionAction {
	}

	/**
	 * Send the end of an answer to the entry.
	 *
	 * @param entry the entry
	 * @param attempt the attempt
	 * @param completion how the answer ended
	 * @param length the number of characters of the whole answer
	 */
	record SendDone(NodeId entry, AttemptId attempt, Completion completion, long length) implements AdmissionAction {
	}

	/**
	 * Report to the entry that an attempt failed.
	 *
	 * @param entry the entry
	 * @param attempt the attempt
	 * @param verdict whether it may have run
	 * @param crashed whether the backend server crashed
	 * @param usage the tokens used, as far as known
	 */
	record SendFailed(NodeId entry, AttemptId attempt, Verdict verdict, boolean crashed,
			Usage usage) implements AdmissionAction {
	}

	/**
	 * Hold the line of an attempt that was sent to the backend server, until the entry
	 * has stored the request's record, or to write it if the entry is lost.
	 *
	 * @param line the line
	 */
	record HoldLine(AgentRecord line) implements AdmissionAction {
	}

	/**
	 * Have another entry hold a copy of an attempt's line. Answered by
	 * {@link AdmissionEvent.CopyHeld}.
	 *
	 * @param holder the other entry
	 * @param line the line
	 */
	record CopyLine(NodeId holder, AgentRecord line) implements AdmissionAction {
	}

	/**
	 * Announce to every entry that an attempt was running when the backend server
	 * crashed.
	 *
	 * @param suspicion the crashes known for its content
	 */
	record AnnounceSuspect(SuspectContent suspicion) implements AdmissionAction {
	}

	/**
	 * Announce to every entry that the backend server takes no new work.
	 */
	record AnnounceLeaving() implements AdmissionAction {
	}

	/**
	 * Report that nothing runs or waits any more, so that the agent may exit.
	 */
	record Drained() implements AdmissionAction {
	}

}
