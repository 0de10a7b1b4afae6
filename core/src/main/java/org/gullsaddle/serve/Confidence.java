package org.gullsaddle.serve;

/**
 * What a model's opinion of its own answer, 0 to 100, says of the answer.
 */
public final class Confidence {

	/** An answer of this confidence is as likely good as too hard for its model. */
	private static final double EVEN_ODDS = 50;

	/** How far a model's opinion of its answer is off, as a standard deviation. */
	private static final double STANDARD_DEVIATION = 10;

	private Confidence() {
	}

	/**
	 * Returns the chance that an answer is good.
	 * @param confidence its model's opinion of it, 0 to 100
	 * @return 0 to 1
	 */
	public static double probabilityGood(int confidence) {
		return NormalDistribution.probabilityBelow(confidence, EVEN_ODDS, STANDARD_DEVIATION);
	}

}
