package org.gullsaddle.ledger;

import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.base.Usage;
import org.gullsaddle.base.Verdict;

/**
 * The record of one attempt of a request.
 *
 * @param attempt the attempt
 * @param version the version it ran on
 * @param agent the agent of the backend server
 * @param revision the template's revision under which it was decided
 * @param verdict whether it may have run
 * @param outcome how it ended, such as {@code done}, {@code escalated} or a refusal's
 * reason
 * @param usage the tokens used
 * @param costMicros what the team pays for it, in micro-dollars
 * @param start when it was sent, as a hybrid logical clock stamp
 * @param end when its end was known, as a hybrid logical clock stamp
 */
public record AttemptRecord(AttemptId attempt, ModelVersion version, NodeId agent, long revision, Verdict verdict,
		String outcome, Usage usage, long costMicros, long start, long end) {
}
