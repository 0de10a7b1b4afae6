package org.gullsaddle.serve;

import org.gullsaddle.fleet.Replica;

/**
 * The selected replica and the estimates that the selection is based on.
 *
 * @param replica the replica
 * @param load the load that delays the request there
 * @param delay when its first event is expected
 * @param readMillis how long the replica needs to read the prompt, in milliseconds
 * @param slowdown the replica's slowdown, which delay and reading time include
 * @param loss the expected loss as a share of the request's value, see {@link Loss}
 */
public record ReplicaChoice(Replica replica, EngineLoad load, DelayEstimate delay, double readMillis, Slowdown slowdown,
		double loss) {

	/**
	 * Returns how long the request is expected to wait before its own prompt is read.
	 * @return the time in milliseconds
	 */
	public double queueMillis() {
		return Math.max(0, this.delay.expectedMillis() - this.readMillis);
	}

	/**
	 * Returns how many tokens of the prompt the replica must read.
	 * @return the number of tokens
	 */
	public int unreadTokens() {
		return this.load.unreadTokens();
	}

}
