package org.gullsaddle.serve;

/**
 * The normal distribution, approximated within one percent by a logistic curve.
 */
final class NormalDistribution {

	private static final double LOGISTIC_SLOPE = 1.702;

	private NormalDistribution() {
	}

	/**
	 * Returns the probability that a normally distributed value lies below a limit.
	 * @param limit the limit
	 * @param mean the value's mean
	 * @param deviation its standard deviation, more than 0
	 * @return 0 to 1
	 */
	static double probabilityBelow(double limit, double mean, double deviation) {
		return 1 / (1 + Math.exp(-LOGISTIC_SLOPE * (limit - mean) / deviation));
	}

}
