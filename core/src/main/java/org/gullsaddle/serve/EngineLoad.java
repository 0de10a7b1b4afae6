package org.gullsaddle.serve;

/**
 * The load that delays a request at a replica.
 *
 * @param unreadTokens how many tokens of its prompt must be read
 * @param backlog how much is read before it, in tokens of the smallest model; for a plain
 * service, how many times all slots must become free before
 * @param requests how many requests run or wait there
 * @param otherRegion whether the replica is in another region
 */
public record EngineLoad(int unreadTokens, double backlog, double requests, boolean otherRegion) {
}
