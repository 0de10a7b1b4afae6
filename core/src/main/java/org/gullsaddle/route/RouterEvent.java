package org.gullsaddle.route;

import java.util.Optional;
import java.util.OptionalDouble;

import org.gullsaddle.base.AgentInfo;
import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.Completion;
import org.gullsaddle.base.LoadReport;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.base.Refusal;
import org.gullsaddle.base.RequestId;
import org.gullsaddle.base.Usage;
import org.gullsaddle.base.Verdict;
import org.gullsaddle.rollout.Halt;
import org.gullsaddle.suspect.SuspectContent;
import org.gullsaddle.template.TemplateRevision;

/**
 * An event that the {@link Router} handles.
 */
public sealed interface RouterEvent {

	/**
	 * A caller's request arrived and passed the checks of the entry.
	 *
	 * @param request the request
	 */
	record RequestArrived(IncomingRequest request) implements RouterEvent {
	}

	/**
	 * The claim of a request's idempotency key has a result.
	 *
	 * @param request the request
	 * @param result the result
	 */
	record ClaimCompleted(RequestId request, ClaimResult result) implements RouterEvent {
	}

	/**
	 * The store pinned the session of a request to a version, or was unavailable.
	 *
	 * @param request the request
	 * @param version the version of the session, or empty if the store was unavailable
	 */
	record PinCompleted(RequestId request, Optional<ModelVersion> version) implements RouterEvent {
	}

	/**
	 * An agent connected, or the versions it serves changed.
	 *
	 * @param agent the agent
	 */
	record AgentUp(AgentInfo agent) implements RouterEvent {
	}

	/**
	 * An agent reported its backend server's load.
	 *
	 * @param agent the agent
	 * @param load the load
	 */
	record AgentLoadReported(NodeId agent, LoadReport load) implements RouterEvent {
	}

	/**
	 * A backend server takes no new work any more.
	 *
	 * @param agent its agent
	 */
	record AgentLeaving(NodeId agent) implements RouterEvent {
	}

	/**
	 * The connection to an agent is lost, and all of its attempts with it.
	 *
	 * @param agent the agent
	 */
	record AgentDown(NodeId agent) implements RouterEvent {
	}

	/**
	 * An agent accepted an attempt, which is queued or running.
	 *
	 * @param attempt the attempt
	 */
	record AttemptAccepted(AttemptId attempt) implements RouterEvent {
	}

	/**
	 * A part of an answer was received.
	 *
	 * @param attempt the attempt
	 * @param offset the number of characters of the whole answer before it
	 * @param text the text
	 */
	record AttemptChunk(AttemptId attempt, long offset, String text) implements RouterEvent {
	}

	/**
	 * An attempt ran to its end.
	 *
	 * @param attempt the attempt
	 * @param completion how its answer ended
	 * @param length the number of characters of the whole answer
	 */
	record AttemptDone(AttemptId attempt, Completion completion, long length) implements RouterEvent {
	}

	/**
	 * An agent refused an attempt without sending it to its backend server.
	 *
	 * @param attempt the attempt
	 * @param refusal why; its verdict is not run
	 */
	record AttemptRefused(AttemptId attempt, Refusal refusal) implements RouterEvent {
	}

	/**
	 * An attempt was sent to the backend server and did not run to its end.
	 *
	 * @param attempt the attempt
	 * @param verdict whether it may have run
	 * @param crashed whether the backend server crashed
	 * @param usage the tokens used, as far as known
	 */
	record AttemptFailed(AttemptId attempt, Verdict verdict, boolean crashed, Usage usage) implements RouterEvent {
	}

	/**
	 * The rating service rated an answer, or failed to.
	 *
	 * @param attempt the attempt that gave the answer
	 * @param score 0 to 1, or empty if no rating came in time
	 */
	record AnswerRated(AttemptId attempt, OptionalDouble score) implements RouterEvent {
	}

	/**
	 * The caller closed its connection.
	 *
	 * @param request the caller's request
	 */
	record CallerDisconnected(RequestId request) implements RouterEvent {
	}

	/**
	 * A revision of a template arrived. It is ignored if it is older than the one in
	 * force.
	 *
	 * @param revision the revision
	 */
	record TemplateChanged(TemplateRevision revision) implements RouterEvent {
	}

	/**
	 * The node became, or stopped being, certain that its configuration is in force.
	 *
	 * @param cutOff true if it is no longer certain
	 */
	record FreshnessChanged(boolean cutOff) implements RouterEvent {
	}

	/**
	 * Another node announced that a backend server crashed while a request ran.
	 *
	 * @param suspicion the crashes it knows of
	 */
	record SuspectAnnounced(SuspectContent suspicion) implements RouterEvent {
	}

	/**
	 * Another node announced that a version gets no new work.
	 *
	 * @param halt the halt
	 */
	record HaltAnnounced(Halt halt) implements RouterEvent {
	}

	/**
	 * The record of a request is stored.
	 *
	 * @param request the request
	 */
	record RecordStored(RequestId request) implements RouterEvent {
	}

	/**
	 * Time has passed; the router checks its timers.
	 */
	record Tick() implements RouterEvent {
	}

}
