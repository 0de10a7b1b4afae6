package org.gullsaddle.serve;

/**
 * What delays the answer to a request at a replica.
 *
 * @param unreadTokens how many tokens of its prompt must be read
 * @param backlog how much is read before it, in tokens of the smallest model; for a plain
 * service how often all slots must become free before
 * @param requests how many requests run or wait there
 * @param otherRegion whether the replica is in another region
 */
public record EngineLoad(int unreadTokens, double backlog, double requests, boolean otherRegion) {
}
