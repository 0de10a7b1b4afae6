package org.gullsaddle.serve;

import org.gullsaddle.fleet.Replica;

/**
 * A picked replica and what decided it.
 *
 * @param replica the replica
 * @param unreadTokens how many tokens of the prompt it must read
 * @param costMillis the delay that was expected, with distance counted in
 * @param readMillis how long the replica needs to read it, in milliseconds
 * @param load how many requests were believed to be there
 */
public record Choice(Replica replica, int unreadTokens, long costMillis, long readMillis, double load) {
}
