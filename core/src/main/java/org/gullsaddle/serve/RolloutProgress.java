package org.gullsaddle.serve;

/**
 * The progress of a roll-out as known to one node.
 *
 * @param elapsedRatio the time since its start as a ratio of its duration
 * @param share the share of the new release among all requests since it was proved
 * @param sent the number of requests that the node sent to any release since the order
 * @param sentToTarget the number of them that it sent to the new release
 * @param triedLoad the highest load of a replica of the new release, as a ratio of its
 * slots
 * @param oldLoad the mean load of the replicas of the old release, as a ratio of their
 * slots
 * @param answersUnderLoad the number of answers from replicas under enough load for a
 * trial
 * @param provedMillis how long after the order the release was proved, 0 if it is not
 */
public record RolloutProgress(double elapsedRatio, double share, int sent, int sentToTarget, double triedLoad,
		double oldLoad, int answersUnderLoad, long provedMillis) {
}
