package org.gullsaddle.serve;

/**
 * Interprets the confidence, 0 to 100, that a model reports in its own answer.
 */
public final class Confidence {

	/** An answer with this confidence is as likely good as too hard for its model. */
	private static final double EVEN_ODDS = 50;

	/** The standard deviation of the reported confidence. */
	private static final double STANDARD_DEVIATION = 10;

	private Confidence() {
	}

	/**
	 * Returns the probability that an answer is good.
	 * @param confidence its model's confidence in it, 0 to 100
	 * @return 0 to 1
	 */
	public static double probabilityGood(int confidence) {
		return NormalDistribution.probabilityBelow(confidence, EVEN_ODDS, STANDARD_DEVIATION);
	}

}
