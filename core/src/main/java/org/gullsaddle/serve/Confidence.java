package org.gullsaddle.serve;

/**
 * What a model's opinion of its own answer, 0 to 100, says of the answer.
 */
public final class Confidence {

	/** An answer of this confidence is as likely good as too hard for its model. */
	private static final double EVEN = 50;

	/** How far a model's opinion of its answer is off, as a standard deviation. */
	private static final double NOISE = 10;

	private Confidence() {
	}

	/**
	 * Returns the chance that an answer is good.
	 * @param confidence its model's opinion of it, 0 to 100
	 * @return 0 to 1
	 */
	public static double chanceGood(int confidence) {
		return NormalCurve.below(confidence, EVEN, NOISE);
	}

}
