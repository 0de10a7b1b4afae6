package org.gullsaddle.serve;

import org.gullsaddle.fleet.Replica;

/**
 * A picked replica and what decided it.
 *
 * @param replica the replica
 * @param load what delays the request there
 * @param delay when its first event is expected
 * @param readMillis how long the replica needs to read its prompt, in milliseconds
 * @param slowdown how the replica's pace changes both
 * @param loss the share of the request's worth that is likely lost, see {@link Loss}
 */
public record ReplicaChoice(Replica replica, EngineLoad load, DelayEstimate delay, double readMillis, Slowdown slowdown,
		double loss) {

	/**
	 * Returns how long the request is expected to wait there until its own prompt is
	 * read.
	 * @return the time in milliseconds
	 */
	public double queueMillis() {
		return Math.max(0, this.delay.expectedMillis() - this.readMillis);
	}

	/**
	 * Returns how much of the prompt the replica must read.
	 * @return the number of tokens
	 */
	public int unreadTokens() {
		return this.load.unreadTokens();
	}

}
