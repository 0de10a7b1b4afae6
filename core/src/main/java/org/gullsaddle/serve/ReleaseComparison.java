package org.gullsaddle.serve;

/**
 * The evidence against a new release from one kind of request, judged by how the old
 * release answers the same kind.
 * <p>
 * Kinds differ: a large model takes ten times as long to its first token as a small one,
 * and some services fail a quarter of their reads on any release. Judged by the mean of
 * all kinds, a good release is taken back for what the old one does as well.
 */
final class ReleaseComparison {

	/**
	 * What a release may fail without being bad, however sound the old one is: replicas
	 * crash, and answers are spoiled on the way.
	 */
	private static final double TOLERATED_FAILURE_RATIO = 0.06;

	/** How many answers of the old release it takes to trust its rate of failures. */
	private static final double PRIOR_ANSWERS = 20;

	/**
	 * The part of what an old release would have answered well that a bad one fails. Most
	 * bad releases fail half; a smaller figure finds those that are less bad, later.
	 */
	private static final double BAD_RELEASE_FAILURE_RATIO = 0.3;

	/** How many times slower than the old release an answer counts as a failure. */
	private static final double SLOW_RATIO = 4;

	private static final double SLOW_MARGIN_MILLIS = 300;

	/**
	 * How many answers of the old release are needed to know its pace: the first few
	 * after a start are slow for want of kept prompts.
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
		int sound = this.oldAnswers - this.oldFailures;
		this.oldFirstPartMillis += Math.max(SMOOTHING, 1.0 / sound) * (firstMillis - this.oldFirstPartMillis);
	}

	/**
	 * Returns what an answer of the new release says against it, as a logarithm; negative
	 * if it speaks for it.
	 */
	double evidenceOf(boolean failed, double firstMillis) {
		double good = goodFailureRatio();
		double bad = good + BAD_RELEASE_FAILURE_RATIO * (1 - good);
		boolean counts = failed || isSlow(firstMillis);
		return counts ? Math.log(bad / good) : Math.log((1 - bad) / (1 - good));
	}

	private double goodFailureRatio() {
		double seen = (this.oldFailures + PRIOR_ANSWERS * TOLERATED_FAILURE_RATIO) / (this.oldAnswers + PRIOR_ANSWERS);
		return Math.max(TOLERATED_FAILURE_RATIO, seen);
	}

	/**
	 * Says whether an answer of the new release took several times as long as the old
	 * one's.
	 */
	boolean isSlow(double firstMillis) {
		return this.oldAnswers - this.oldFailures >= MIN_ANSWERS_FOR_LATENCY
				&& firstMillis > SLOW_RATIO * this.oldFirstPartMillis + SLOW_MARGIN_MILLIS;
	}

}
