package org.gullsaddle.serve;

/**
 * A mean of which the usual counts for a part: all while nothing was seen, and the less
 * the more was. Confined to one thread.
 */
final class DecayingMean {

	/**
	 * The most that values count beside the usual, which counts 1, so that what has
	 * changed for good is learned anew.
	 */
	private static final double MAX_WEIGHT = 8;

	private double mean;

	private double weight;

	void add(double value, double valueWeight) {
		if (valueWeight > 0) {
			this.weight = Math.min(MAX_WEIGHT, this.weight + valueWeight);
			this.mean += Math.min(1, valueWeight / this.weight) * (value - this.mean);
		}
	}

	/**
	 * Has what was seen count less.
	 * @param share how much of its weight remains, 0 to 1
	 */
	void decay(double share) {
		this.weight *= share;
	}

	/**
	 * Returns the mean as if it had been faded.
	 * @param usual what is expected without having seen anything
	 * @param share how much of its weight would remain
	 */
	double estimate(double usual, double share) {
		double faded = this.weight * share;
		return (usual + faded * this.mean) / (1 + faded);
	}

}
