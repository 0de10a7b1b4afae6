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
 * Something that happened, for {@link Admission} to decide on.
 */
public sealed interface AdmissionEvent {

	/**
	 * An entry sent an attempt.
	 *
	 * @param entry the entry
	 * @param dispatch the attempt
	 * @param deadline its deadline in milliseconds on the agent's clock, no later than
	 * the entry meant
	 */
	record Dispatched(NodeId entry, Dispatch dispatch, long deadline) implements AdmissionEvent {
	}

	/**
	 * An entry wants an attempt stopped.
	 *
	 * @param attempt the attempt
	 */
	record CancelRequested(AttemptId attempt) implements AdmissionEvent {
	}

	/**
	 * A link to an entry is up.
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
	 * The link to an entry is gone.
	 *
	 * @param entry the entry
	 */
	record EntryDown(NodeId entry) implements AdmissionEvent {
	}

	/**
	 * The backend server gave a part of an answer.
	 *
	 * @param attempt the attempt
	 * @param text the part
	 */
	record AttemptChunk(AttemptId attempt, String text) implements AdmissionEvent {
	}

	/**
	 * The backend server ended an answer.
	 *
	 * @param attempt the attempt
	 * @param completion how it closed
	 */
	record AttemptDone(AttemptId attempt, Completion completion) implements AdmissionEvent {
	}

	/**
	 * The backend server did not end an answer.
	 *
	 * @param attempt the attempt
	 * @param verdict whether it may have run; not run only if nothing was written to the
	 * backend server
	 * @param crashed whether the backend server died
	 * @param usage the tokens used as far as known
	 */
	record AttemptFailed(AttemptId attempt, Verdict verdict, boolean crashed, Usage usage) implements AdmissionEvent {
	}

	/**
	 * The backend server answers.
	 *
	 * @param versions the versions it has loaded
	 * @param slots how many requests it runs at once
	 */
	record BackendUp(Set<ModelVersion> versions, int slots) implements AdmissionEvent {
	}

	/**
	 * The backend server does not answer.
	 */
	record BackendDown() implements AdmissionEvent {
	}

	/**
	 * A revision of a template arrived; an older one than that in force is ignored.
	 *
	 * @param revision the revision
	 */
	record TemplateChanged(TemplateRevision revision) implements AdmissionEvent {
	}

	/**
	 * An entry knows of a crash elsewhere.
	 *
	 * @param suspicion what it knows
	 */
	record SuspectAnnounced(SuspectContent suspicion) implements AdmissionEvent {
	}

	/**
	 * The VM is to leave, or the agent to stop.
	 */
	record DrainStarted() implements AdmissionEvent {
	}

	/**
	 * Time passed.
	 */
	record Tick() implements AdmissionEvent {
	}

}
