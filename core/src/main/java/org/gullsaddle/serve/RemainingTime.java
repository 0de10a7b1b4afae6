package org.gullsaddle.serve;

/**
 * The time that a refused request has left.
 *
 * @param remainingMillis until its caller gives it up, in milliseconds
 * @param objectiveMillis until its answer is late, in milliseconds, negative if it is
 */
public record RemainingTime(long remainingMillis, long objectiveMillis) {

	/** The part of the time left that callers wait at most when told to. */
	private static final double MAX_WAIT_RATIO = 1.0 / 3;

	/**
	 * The part of the objective after which a return is too late to be answered in it, as
	 * it waits once more then.
	 */
	private static final double USEFUL_OBJECTIVE_RATIO = 1.0 / 3;

	/**
	 * Returns how late it is useful to return, in milliseconds.
	 */
	double usefulMillis() {
		double heeded = MAX_WAIT_RATIO * this.remainingMillis;
		return (this.objectiveMillis > 0) ? Math.min(heeded, USEFUL_OBJECTIVE_RATIO * this.objectiveMillis) : heeded;
	}

}
