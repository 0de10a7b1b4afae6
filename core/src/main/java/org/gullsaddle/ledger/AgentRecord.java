package org.gullsaddle.ledger;

import org.gullsaddle.base.NodeId;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.TemplateName;

/**
 * An attempt's line as its agent held it and wrote it itself, because the entry was lost
 * before the request's record was seen in the store.
 *
 * @param entry the entry that sent the attempt
 * @param team the team that pays
 * @param template the template
 * @param line the line
 */
public record AgentRecord(NodeId entry, TeamId team, TemplateName template, AttemptRecord line) {
}
