package org.gullsaddle.ledger;

import java.util.List;

import org.gullsaddle.base.RequestId;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.TemplateName;
import org.gullsaddle.base.Verdict;

/**
 * The ledger's record of a request: its team, the attempts that served it, in what order
 * and why, and its cost. Prompts and answers are not stored.
 *
 * @param request the request
 * @param team the team that pays
 * @param template the template
 * @param session the session, or null
 * @param admitted when it was admitted, as a hybrid logical clock stamp
 * @param plan the versions planned, in order, and why
 * @param attempts each attempt, in order
 * @param verdict whether it ran
 * @param outcome {@code served}, {@code repeated} or a refusal's reason
 * @param costMicros what the team pays, in micro-dollars
 * @param finished when its caller had its final answer, as a hybrid logical clock stamp
 */
public record RequestRecord(RequestId request, TeamId team, TemplateName template, String session, long admitted,
		String plan, List<AttemptRecord> attempts, Verdict verdict, String outcome, long costMicros, long finished) {

	public RequestRecord {
		attempts = List.copyOf(attempts);
	}

}
