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
import org.gullsaddle.suspect.Suspicion;
import org.gullsaddle.template.TemplateRevision;

/**
 * Something that happened, for the {@link Router} to decide on.
 */
public sealed interface RouterEvent {

	/**
	 * A caller's request passed the filters.
	 *
	 * @param request the request
	 */
	record RequestArrived(IncomingRequest request) implements RouterEvent {
	}

	/**
	 * The claim on a request's idempotency key was answered.
	 *
	 * @param request the request
	 * @param answer what it came to
	 */
	record ClaimCompleted(RequestId request, ClaimResult result) implements RouterEvent {
	}

	/**
	 * The version of a request's session was settled, or could not be.
	 *
	 * @param request the request
	 * @param version the version that the session has, or empty if the store could not
	 * say
	 */
	record PinCompleted(RequestId request, Optional<ModelVersion> version) implements RouterEvent {
	}

	/**
	 * A link to an agent came up, or what it serves changed.
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
	 * A backend server takes no new work from now on.
	 *
	 * @param agent its agent
	 */
	record AgentLeaving(NodeId agent) implements RouterEvent {
	}

	/**
	 * The link to an agent is gone, and with it all of its attempts.
	 *
	 * @param agent the agent
	 */
	record AgentDown(NodeId agent) implements RouterEvent {
	}

	/**
	 * An agent has an attempt; it is queued or running.
	 *
	 * @param attempt the attempt
	 */
	record AttemptAccepted(AttemptId attempt) implements RouterEvent {
	}

	/**
	 * A part of an answer came.
	 *
	 * @param attempt the attempt
	 * @param offset how many characters of the whole answer come before it
	 * @param text the part
	 */
	record AttemptChunk(AttemptId attempt, long offset, String text) implements RouterEvent {
	}

	/**
	 * An attempt ran to its end.
	 *
	 * @param attempt the attempt
	 * @param completion how its answer closed
	 * @param length how many characters the whole answer has
	 */
	record AttemptDone(AttemptId attempt, Completion completion, long length) implements RouterEvent {
	}

	/**
	 * An agent refused an attempt that it never handed to its backend server.
	 *
	 * @param attempt the attempt
	 * @param refusal why; its verdict is not run
	 */
	record AttemptRefused(AttemptId attempt, Refusal refusal) implements RouterEvent {
	}

	/**
	 * An attempt was handed to the backend server and did not run to its end.
	 *
	 * @param attempt the attempt
	 * @param verdict whether it may have run
	 * @param crashed whether the backend server died
	 * @param usage the tokens used as far as known
	 */
	record AttemptFailed(AttemptId attempt, Verdict verdict, boolean crashed, Usage usage) implements RouterEvent {
	}

	/**
	 * The rating service rated an answer, or could not.
	 *
	 * @param attempt the attempt that gave the answer
	 * @param score 0 to 1, or empty if no rating came in time
	 */
	record AnswerRated(AttemptId attempt, OptionalDouble score) implements RouterEvent {
	}

	/**
	 * The caller closed its connection.
	 *
	 * @param request its request
	 */
	record CallerDisconnected(RequestId request) implements RouterEvent {
	}

	/**
	 * A revision of a template arrived; an older one than that in force is ignored.
	 *
	 * @param revision the revision
	 */
	record TemplateChanged(TemplateRevision revision) implements RouterEvent {
	}

	/**
	 * The node can, or can no longer, tell that its configuration is the one in force.
	 *
	 * @param cutOff true if it no longer can
	 */
	record FreshnessChanged(boolean cutOff) implements RouterEvent {
	}

	/**
	 * Another node saw a backend server crash while a request ran.
	 *
	 * @param suspicion what it knows
	 */
	record SuspectAnnounced(Suspicion suspicion) implements RouterEvent {
	}

	/**
	 * Another node gives a version no new work.
	 *
	 * @param halt the halt
	 */
	record HaltAnnounced(Halt halt) implements RouterEvent {
	}

	/**
	 * The store has a request's record.
	 *
	 * @param request the request
	 */
	record RecordStored(RequestId request) implements RouterEvent {
	}

	/**
	 * Time passed.
	 */
	record Tick() implements RouterEvent {
	}

}
