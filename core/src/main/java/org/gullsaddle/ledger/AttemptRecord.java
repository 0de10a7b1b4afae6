package org.gullsaddle.ledger;

import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.base.Usage;
import org.gullsaddle.base.Verdict;

/**
 * One attempt in a request's record.
 *
 * @param attempt the attempt
 * @param version the version it ran on
 * @param agent the agent beside the backend server
 * @param revision the template's revision it was decided under
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
