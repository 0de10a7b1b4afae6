package org.gullsaddle.serve;

/**
 * How far a new release has come, as one node knows.
 *
 * @param elapsedRatio the part of the roll-out's time that has passed
 * @param share the share of the new release among all requests since it was proved
 * @param sent the requests that the node sent to any release since the order
 * @param sentToTarget those that it sent to the new release
 * @param triedLoad the most that ran at once at a replica of the new release, as a part
 * of its slots
 * @param oldLoad what usually runs at once at a replica of the old release, as a part of
 * its slots
 * @param answersUnderLoad how many answers came from replicas under as much load as a
 * trial takes
 * @param provedMillis how long after the order the release was proved, 0 if it is not
 */
public record RolloutProgress(double elapsedRatio, double share, int sent, int sentToTarget, double triedLoad,
		double oldLoad, int answersUnderLoad, long provedMillis) {
}
