package org.gullsaddle.serve;

/**
 * What the replicas of a service tell and take on the mean. Confined to one thread.
 */
final class PeerPace {

	private final FadingMean figures = new FadingMean();

	private final FadingMean ratios = new FadingMean();

	private final FadingMean errors = new FadingMean();

	void told(double figure, double weight) {
		this.figures.add(figure, weight);
	}

	void took(double ratio) {
		this.ratios.add(ratio, 1);
	}

	/**
	 * Takes in how far a delay was from what is known of its replica, and returns the
	 * variance of that: it is large while what is expected of all is still learned.
	 */
	double variance(double error) {
		this.errors.add(error * error, 1);
		return this.errors.beside(ReplicaPace.PACE_VARIANCE, 1);
	}

	double figure() {
		return this.figures.beside(1, 1);
	}

	/**
	 * Returns by how much answers take longer than expected, as a logarithm: what is
	 * expected of all is learned elsewhere, and a replica is compared with the others.
	 */
	double ratio() {
		return this.ratios.beside(0, 1);
	}

}
