package org.gullsaddle.serve;

/**
 * Compares how the old and the new release answer one kind of request, and rates each
 * answer of the new release as evidence against it.
 * <p>
 * Kinds differ: a large model takes ten times as long to its first token as a small one,
 * and some services fail a quarter of their reads on any release. Compared with the mean
 * of all kinds, a good release would be rolled back for what the old one does as well.
 */
final class ReleaseComparison {

	/**
	 * The ratio of failures that does not make a release bad, however few the old one
	 * has: replicas crash, and answers are broken on the way.
	 */
	private static final double TOLERATED_FAILURE_RATIO = 0.06;

	/**
	 * The weight of the tolerated ratio of failures, as a number of answers of the old
	 * release.
	 */
	private static final double PRIOR_ANSWERS = 20;

	/**
	 * The ratio of requests that a bad release fails among those the old one would have
	 * answered well. Most bad releases fail half of them; a smaller ratio also finds
	 * milder faults, but later.
	 */
	private static final double BAD_RELEASE_FAILURE_RATIO = 0.3;

	/**
	 * How many times slower than with the old release an answer is when it counts as a
	 * failure.
	 */
	private static final double SLOW_RATIO = 4;

	private static final double SLOW_MARGIN_MILLIS = 300;

	/**
	 * How many answers of the old release are needed to know its latency: the first ones
	 * after a start are slow because no prompts are cached.
	 */
	private static final int MIN_ANSWERS_FOR_LATENCY = 5;

	private static final double SMOOTHING = 0.1;

	private int oldAnswers;

	private int oldFailures;

	private double oldFirstPartMillis;

	void recordOldAnswer(boolean failed, double firstMillis) {
		this.oldAnswers++;
		if (failed) {
			this.oldFailures++;
			return;
		}
		int goodAnswers = this.oldAnswers - this.oldFailures;
		this.oldFirstPartMillis += Math.max(SMOOTHING, 1.0 / goodAnswers) * (firstMillis - this.oldFirstPartMillis);
	}

	/**
	 * Returns the evidence of an answer against the new release, as a log likelihood
	 * ratio; negative if it is in its favour.
	 */
	double evidenceOf(boolean failed, double firstMillis) {
		double goodRatio = goodFailureRatio();
		double badRatio = goodRatio + BAD_RELEASE_FAILURE_RATIO * (1 - goodRatio);
		boolean countsAsFailure = failed || isSlow(firstMillis);
		return countsAsFailure ? Math.log(badRatio / goodRatio) : Math.log((1 - badRatio) / (1 - goodRatio));
	}

	private double goodFailureRatio() {
		double smoothedRatio = (this.oldFailures + PRIOR_ANSWERS * TOLERATED_FAILURE_RATIO)
				/ (this.oldAnswers + PRIOR_ANSWERS);
		return Math.max(TOLERATED_FAILURE_RATIO, smoothedRatio);
	}

	/**
	 * Returns whether an answer of the new release took several times as long as those of
	 * the old one.
	 */
	boolean isSlow(double firstMillis) {
		return this.oldAnswers - this.oldFailures >= MIN_ANSWERS_FOR_LATENCY
				&& firstMillis > SLOW_RATIO * this.oldFirstPartMillis + SLOW_MARGIN_MILLIS;
	}

}
