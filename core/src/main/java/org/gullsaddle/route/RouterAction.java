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
import org.gullsaddle.suspect.SuspectContent;

/**
 * An action that the {@link Router} has decided on, to be carried out by its caller.
 */
public sealed interface RouterAction {

	/**
	 * Claim an idempotency key in the store. Answered by
	 * {@link RouterEvent.ClaimCompleted}.
	 *
	 * @param request the request
	 * @param team its team
	 * @param key its idempotency key
	 * @param content the hash of its content
	 */
	record Claim(RequestId request, TeamId team, String key, Fingerprint content) implements RouterAction {
	}

	/**
	 * Store the answer under the claimed key, for the same call sent again.
	 *
	 * @param request the request
	 * @param team its team
	 * @param key its idempotency key
	 * @param outcome the answer
	 */
	record CompleteClaim(RequestId request, TeamId team, String key, CallOutcome outcome) implements RouterAction {
	}

	/**
	 * Release a claimed key, as the request was not run.
	 *
	 * @param request the request
	 * @param team its team
	 * @param key its idempotency key
	 */
	record ReleaseClaim(RequestId request, TeamId team, String key) implements RouterAction {
	}

	/**
	 * Pin a session to a version in the store. Answered by
	 * {@link RouterEvent.PinCompleted}.
	 *
	 * @param request the request
	 * @param team its team
	 * @param template its template
	 * @param session its session
	 * @param proposed the version to pin if the session has none
	 * @param replaced the version that the session can no longer use, or null
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
	 * Cancel an attempt at its agent.
	 *
	 * @param agent the agent
	 * @param attempt the attempt
	 */
	record Cancel(NodeId agent, AttemptId attempt) implements RouterAction {
	}

	/**
	 * Deliver a part of the answer to the caller.
	 *
	 * @param request the request
	 * @param version the version that generated it
	 * @param text the text
	 */
	record Deliver(RequestId request, ModelVersion version, String text) implements RouterAction {
	}

	/**
	 * End the caller's answer, which is complete.
	 *
	 * @param request the request
	 * @param servedBy the version that served it; for a repeated call, that of the first
	 * one
	 * @param completion how the answer ended
	 * @param costMicros the cost for the team, in micro-dollars
	 */
	record Complete(RequestId request, String servedBy, Completion completion,
			long costMicros) implements RouterAction {
	}

	/**
	 * Send the final refusal to the caller.
	 *
	 * @param request the request
	 * @param refusal the refusal
	 */
	record Refuse(RequestId request, Refusal refusal) implements RouterAction {
	}

	/**
	 * Have an answer rated. Answered by {@link RouterEvent.AnswerRated}.
	 *
	 * @param attempt the attempt that gave the answer
	 * @param version the version that generated it
	 * @param prompt the request's body
	 * @param answer the answer
	 */
	record RateAnswer(AttemptId attempt, ModelVersion version, String prompt, String answer) implements RouterAction {
	}

	/**
	 * Announce to the other nodes that a request was running when a backend server
	 * crashed.
	 *
	 * @param suspicion the crashes known for its content
	 */
	record AnnounceSuspect(SuspectContent suspicion) implements RouterAction {
	}

	/**
	 * Announce to the other nodes that a version gets no new work, and to the operators
	 * why.
	 *
	 * @param halt the halt
	 */
	record AnnounceHalt(Halt halt) implements RouterAction {
	}

	/**
	 * Write the request's record to the ledger before its answer is delivered. Answered
	 * by {@link RouterEvent.RecordStored}.
	 *
	 * @param record the record
	 */
	record WriteRecordBeforeAnswer(RequestRecord record) implements RouterAction {
	}

	/**
	 * Write the request's final record to the ledger.
	 *
	 * @param record the record
	 */
	record WriteRecord(RequestRecord record) implements RouterAction {
	}

}
