package org.gullsaddle.serve;

/**
 * A weighted mean that includes a prior: it equals the prior without observations, and
 * follows them more the greater their weight. Confined to one thread.
 */
final class DecayingMean {

	/**
	 * The largest weight of all observations, where the prior has the weight 1, so that
	 * lasting changes are learned.
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
	 * Reduces the weight of the observations.
	 * @param remainingShare how much of the weight remains, 0 to 1
	 */
	void decay(double remainingShare) {
		this.weight *= remainingShare;
	}

	/**
	 * Returns the mean as if its observations had decayed.
	 * @param prior the expected value without observations
	 * @param remainingShare how much of the weight would remain
	 */
	double estimate(double prior, double remainingShare) {
		double decayedWeight = this.weight * remainingShare;
		return (prior + decayedWeight * this.mean) / (1 + decayedWeight);
	}

}
