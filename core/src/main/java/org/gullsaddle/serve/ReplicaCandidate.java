package org.gullsaddle.serve;

import org.gullsaddle.fleet.Replica;

/**
 * A replica that a request may be sent to, and what is known about it.
 *
 * @param replica the replica
 * @param task the task
 * @param load the load that would delay the request there
 * @param delay when its answer would begin
 * @param readMillis how long it would read the prompt, in milliseconds
 * @param slowdown the slowdown, which delay and reading time include
 * @param distance the distance from this node
 * @param failureShare the share of its latest answers that failed
 * @param dedicated whether it is dedicated to models of the task's size class
 * @param meanRequests how many requests all replicas have on average
 */
public record ReplicaCandidate(Replica replica, ReplicaTask task, EngineLoad load, DelayEstimate delay,
		double readMillis, Slowdown slowdown, Distance distance, double failureShare, boolean dedicated,
		double meanRequests) {
}
