package org.gullsaddle.serve;

/**
 * The time that a refused request has left.
 *
 * @param remainingMillis the time to its deadline, in milliseconds
 * @param objectiveMillis the time to its latency objective, in milliseconds, negative if
 * that is missed
 */
public record RemainingTime(long remainingMillis, long objectiveMillis) {

	/**
	 * The longest retry-after time that callers heed, as a ratio of the time to the
	 * deadline.
	 */
	private static final double MAX_WAIT_RATIO = 1.0 / 3;

	/**
	 * The latest return from which the objective can still be met, as a ratio of the time
	 * to it: the request has to wait once more then.
	 */
	private static final double USEFUL_OBJECTIVE_RATIO = 1.0 / 3;

	/**
	 * Returns the longest retry-after time that is useful, in milliseconds.
	 */
	double usefulMillis() {
		double heeded = MAX_WAIT_RATIO * this.remainingMillis;
		return (this.objectiveMillis > 0) ? Math.min(heeded, USEFUL_OBJECTIVE_RATIO * this.objectiveMillis) : heeded;
	}

}
