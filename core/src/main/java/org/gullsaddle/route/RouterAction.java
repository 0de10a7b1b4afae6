package org.gullsaddle.route;

import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.Completion;
import org.gullsaddle.base.Dispatch;
import org.gullsaddle.base.Fingerprint;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.base.Refusal;
import org.gullsaddle.base.RequestId;
import org.gullsaddle.base.SessionId;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.TemplateName;
import org.gullsaddle.ledger.RequestRecord;
import org.gullsaddle.rollout.Halt;
import org.gullsaddle.suspect.Suspicion;

/**
 * Something the {@link Router} wants done.
 */
public sealed interface RouterAction {

	/**
	 * Claim an idempotency key in the store; answered by
	 * {@link RouterEvent.ClaimAnswered}.
	 *
	 * @param request the request
	 * @param team its team
	 * @param key its idempotency key
	 * @param content the hash of its content
	 */
	record Claim(RequestId request, TeamId team, String key, Fingerprint content) implements RouterAction {
	}

	/**
	 * Keep the answer under the claimed key, for when the call is sent again.
	 *
	 * @param request the request
	 * @param team its team
	 * @param key its idempotency key
	 * @param outcome the answer
	 */
	record CompleteClaim(RequestId request, TeamId team, String key, CallOutcome outcome) implements RouterAction {
	}

	/**
	 * Give a claimed key back, as the request was not run.
	 *
	 * @param request the request
	 * @param team its team
	 * @param key its idempotency key
	 */
	record ReleaseClaim(RequestId request, TeamId team, String key) implements RouterAction {
	}

	/**
	 * Settle the version of a session in the store; answered by
	 * {@link RouterEvent.PinAnswered}.
	 *
	 * @param request the request
	 * @param team its team
	 * @param template its template
	 * @param session its session
	 * @param proposed the version to take if the session has none
	 * @param replacing the version that the session can no longer have, or null
	 */
	record PinSession(RequestId request, TeamId team, TemplateName template, SessionId session, ModelVersion proposed,
			ModelVersion replaced) implements RouterAction {
	}

	/**
	 * Send an attempt to an agent.
	 *
	 * @param agent the agent
	 * @param dispatch the attempt
	 */
	record Send(NodeId agent, Dispatch dispatch) implements RouterAction {
	}

	/**
	 * Tell an agent to stop an attempt.
	 *
	 * @param agent the agent
	 * @param attempt the attempt
	 */
	record Cancel(NodeId agent, AttemptId attempt) implements RouterAction {
	}

	/**
	 * Give the caller a part of its answer.
	 *
	 * @param request the request
	 * @param version the version that wrote it
	 * @param text the part
	 */
	record Deliver(RequestId request, ModelVersion version, String text) implements RouterAction {
	}

	/**
	 * Close the caller's answer; it is whole.
	 *
	 * @param request the request
	 * @param servedBy what served it: the version, or the earlier request's for a call
	 * sent again
	 * @param completion how the answer closed
	 * @param costMicros what it costs the team, in micro-dollars
	 */
	record Complete(RequestId request, String servedBy, Completion completion,
			long costMicros) implements RouterAction {
	}

	/**
	 * Give the caller its final refusal, at once.
	 *
	 * @param request the request
	 * @param refusal the refusal
	 */
	record Refuse(RequestId request, Refusal refusal) implements RouterAction {
	}

	/**
	 * Have an answer rated; answered by {@link RouterEvent.AnswerRated}.
	 *
	 * @param attempt the attempt that gave the answer
	 * @param version the version that wrote it
	 * @param prompt the request's body
	 * @param answer the answer
	 */
	record RateAnswer(AttemptId attempt, ModelVersion version, String prompt, String answer) implements RouterAction {
	}

	/**
	 * Tell the other nodes that a request was running when a backend server crashed.
	 *
	 * @param suspicion what is known against its content
	 */
	record AnnounceSuspect(Suspicion suspicion) implements RouterAction {
	}

	/**
	 * Tell the other nodes that a version gets no new work, and the operators why.
	 *
	 * @param halt the halt
	 */
	record AnnounceHalt(Halt halt) implements RouterAction {
	}

	/**
	 * Write the request's record to the ledger ahead of its answer; answered by
	 * {@link RouterEvent.RecordKept}.
	 *
	 * @param record the record
	 */
	record WriteRecordBeforeAnswer(RequestRecord record) implements RouterAction {
	}

	/**
	 * Write the request's record to the ledger; nothing more of it will happen.
	 *
	 * @param record the record
	 */
	record WriteRecord(RequestRecord record) implements RouterAction {
	}

}
