package org.gullsaddle.agent;

import java.util.Set;

import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.Completion;
import org.gullsaddle.base.Dispatch;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.base.Usage;
import org.gullsaddle.base.Verdict;
import org.gullsaddle.suspect.SuspectContent;
import org.gullsaddle.template.TemplateRevision;

/**
 * An event that {@link Admission} handles.
 */
public sealed interface AdmissionEvent {

	/**
	 * An entry sent an attempt.
	 *
	 * @param entry the entry
	 * @param dispatch the attempt
	 * @param deadline its deadline in milliseconds on the agent's clock, not later than
	 * the entry's deadline
	 */
	record Dispatched(NodeId entry, Dispatch dispatch, long deadline) implements AdmissionEvent {
	}

	/**
	 * An entry cancelled an attempt.
	 *
	 * @param attempt the attempt
	 */
	record CancelRequested(AttemptId attempt) implements AdmissionEvent {
	}

	/**
	 * An entry connected.
	 *
	 * @param entry the entry
	 */
	record EntryUp(NodeId entry) implements AdmissionEvent {
	}

	/**
	 * Another entry holds a copy of an attempt's line.
	 *
	 * @param attempt the attempt
	 */
	record CopyHeld(AttemptId attempt) implements AdmissionEvent {
	}

	/**
	 * The connection to an entry is lost.
	 *
	 * @param entry the entry
	 */
	record EntryDown(NodeId entry) implements AdmissionEvent {
	}

	/**
	 * The backend server sent a part of an answer.
	 *
	 * @param attempt the attempt
	 * @param text the text
	 */
	record AttemptChunk(AttemptId attempt, String text) implements AdmissionEvent {
	}

	/**
	 * The backend server ran an attempt to its end.
	 *
	 * @param attempt the attempt
	 * @param completion how the answer ended
	 */
	record AttemptDone(AttemptId attempt, Completion completion) implements AdmissionEvent {
	}

	/**
	 * The backend server did not run an attempt to its end.
	 *
	 * @param attempt the attempt
	 * @param verdict whether it may have run; "not run" only if nothing was written to
	 * the backend server
	 * @param crashed whether the backend server crashed
	 * @param usage the tokens used, as far as known
	 */
	record AttemptFailed(AttemptId attempt, Verdict verdict, boolean crashed, Usage usage) implements AdmissionEvent {
	}

	/**
	 * The backend server became available, or what it serves changed.
	 *
	 * @param versions the versions it has loaded
	 * @param slots the number of requests it runs at once
	 */
	record BackendUp(Set<ModelVersion> versions, int slots) implements AdmissionEvent {
	}

	/**
	 * The backend server became unavailable.
	 */
	record BackendDown() implements AdmissionEvent {
	}

	/**
	 * A revision of a template arrived. It is ignored if it is older than the one in
	 * force.
	 *
	 * @param revision the revision
	 */
	record TemplateChanged(TemplateRevision revision) implements AdmissionEvent {
	}

	/**
	 * An entry announced that a backend server crashed while a request ran.
	 *
	 * @param suspicion the crashes it knows of
	 */
	record SuspectAnnounced(SuspectContent suspicion) implements AdmissionEvent {
	}

	/**
	 * The VM is being removed, or the agent stops.
	 */
	record DrainStarted() implements AdmissionEvent {
	}

	/**
	 * Time has passed; timers and the queue are checked.
	 */
	record Tick() implements AdmissionEvent {
	}

}
