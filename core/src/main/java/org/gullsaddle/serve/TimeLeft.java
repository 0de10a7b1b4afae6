package org.gullsaddle.serve;

/**
 * The time that a refused request has left.
 *
 * @param millis until its caller gives it up, in milliseconds
 * @param objectiveMillis until its answer is late, in milliseconds, negative if it is
 */
public record TimeLeft(long millis, long objectiveMillis) {

	/** The part of the time left that callers wait at most when told to. */
	private static final double HEEDED_PART = 1.0 / 3;

	/**
	 * The part of the objective after which a return is too late to be answered in it, as
	 * it waits once more then.
	 */
	private static final double USEFUL_PART = 1.0 / 3;

	/**
	 * Returns how late it is useful to return, in milliseconds.
	 */
	double useful() {
		double heeded = HEEDED_PART * this.millis;
		return (this.objectiveMillis > 0) ? Math.min(heeded, USEFUL_PART * this.objectiveMillis) : heeded;
	}

}
