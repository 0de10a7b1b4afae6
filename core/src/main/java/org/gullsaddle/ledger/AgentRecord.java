package org.gullsaddle.ledger;

import org.gullsaddle.base.NodeId;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.TemplateName;

/**
 * An attempt's record, written by its agent because the entry node was lost before the
 * request's record was in the store.
 *
 * @param entry the entry that sent the attempt
 * @param team the team that pays
 * @param template the template
 * @param line the attempt's record
 */
public record AgentRecord(NodeId entry, TeamId team, TemplateName template, AttemptRecord line) {
}
