package org.gullsaddle.serve;

/**
 * What a node tells others of a roll-out.
 *
 * @param node the node
 * @param evidence its evidence against the new release, a sum of logarithms
 * @param answers the answers of the new release that it saw
 * @param elapsedMillis how long ago the order was, so that a node that has just started
 * does not begin anew
 */
public record RolloutNote(String node, double evidence, int answers, long elapsedMillis) {
}
