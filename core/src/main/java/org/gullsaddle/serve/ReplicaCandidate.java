package org.gullsaddle.serve;

import org.gullsaddle.fleet.Replica;

/**
 * A replica that a request may go to, and what is known of it.
 *
 * @param replica the replica
 * @param task what it would do
 * @param load what would delay the request there
 * @param delay when its answer would begin
 * @param readMillis how long it would read the prompt, in milliseconds
 * @param slowdown how its pace changes both
 * @param distance how far away it is
 * @param failureShare the share of its latest answers that failed
 * @param dedicated whether models of the task's size are at home there
 * @param meanRequests how many requests all replicas have on average
 */
public record ReplicaCandidate(Replica replica, ReplicaTask task, EngineLoad load, DelayEstimate delay,
		double readMillis, Slowdown slowdown, Distance distance, double failureShare, boolean dedicated,
		double meanRequests) {
}
