package org.gullsaddle.serve;

import java.util.Arrays;

/**
 * A linear relation that is learned from one observation after another, by recursive
 * least squares. It begins with a prior, forgets what is old, and never holds more than
 * its coefficients. Confined to one thread.
 */
final class OnlineRegression {

	/** What the weight of an observation falls by with each later one. */
	private static final double FORGETTING_RATIO = 0.995;

	/** How many standard deviations an observation may lie off before it is cut. */
	private static final double MAX_DEVIATIONS = 4;

	/** How fast the spread of observations is learned. */
	private static final double VARIANCE_SMOOTHING = 0.05;

	private final double[] priorDeviations;

	private final double[] coefficients;

	private final double[][] covariance;

	/** The variance of observations, in units of the noise that each was told with. */
	private double variance = 1;

	/**
	 * Begins with a prior.
	 * @param prior the coefficients that are expected, none negative
	 * @param deviations the standard deviation of each
	 */
	OnlineRegression(double[] prior, double[] deviations) {
		this.coefficients = prior.clone();
		this.priorDeviations = deviations.clone();
		this.covariance = new double[prior.length][prior.length];
		for (int i = 0; i < prior.length; i++) {
			this.covariance[i][i] = deviations[i] * deviations[i];
		}
	}

	/**
	 * Returns a copy of what another one has learned, as the prior of a new one.
	 */
	OnlineRegression asPrior() {
		return new OnlineRegression(this.coefficients, this.priorDeviations);
	}

	double coefficient(int index) {
		return this.coefficients[index];
	}

	double predict(double[] features) {
		double sum = 0;
		for (int i = 0; i < features.length; i++) {
			sum += this.coefficients[i] * features[i];
		}
		return sum;
	}

	/**
	 * Returns the standard deviation of an observation from what is expected of it.
	 * @param noise the noise that is taken for granted there
	 */
	double predictiveDeviation(double[] features, double noise) {
		double uncertain = 0;
		for (int i = 0; i < features.length; i++) {
			uncertain += features[i] * multiplyCovarianceRow(i, features);
		}
		return Math.sqrt(this.variance * noise * noise + Math.max(0, uncertain));
	}

	/**
	 * Learns from an observation.
	 * @param noise the noise that is taken for granted in it, more than 0
	 */
	void learn(double[] features, double observed, double noise) {
		double error = observed - predict(features);
		double most = MAX_DEVIATIONS * predictiveDeviation(features, noise);
		double cut = Math.clamp(error, -most, most);
		double[] direction = new double[features.length];
		double spread = noise * noise;
		for (int i = 0; i < features.length; i++) {
			direction[i] = multiplyCovarianceRow(i, features);
			spread += features[i] * direction[i];
		}
		for (int i = 0; i < features.length; i++) {
			this.coefficients[i] = Math.max(0, this.coefficients[i] + direction[i] * cut / spread);
		}
		updateCovariance(direction, spread);
		double squared = cut * cut / spread;
		this.variance += VARIANCE_SMOOTHING * (squared - this.variance);
	}

	private void updateCovariance(double[] direction, double spread) {
		for (int i = 0; i < direction.length; i++) {
			for (int j = 0; j < direction.length; j++) {
				this.covariance[i][j] = (this.covariance[i][j] - direction[i] * direction[j] / spread)
						/ FORGETTING_RATIO;
			}
		}
		for (int i = 0; i < direction.length; i++) {
			boundUncertainty(i);
		}
	}

	/**
	 * Keeps a coefficient that no observation speaks of from becoming more uncertain than
	 * it was at first: forgetting alone would let it grow without end.
	 */
	private void boundUncertainty(int index) {
		double most = this.priorDeviations[index] * this.priorDeviations[index];
		if (this.covariance[index][index] <= most) {
			return;
		}
		double scale = Math.sqrt(most / this.covariance[index][index]);
		for (int i = 0; i < this.covariance.length; i++) {
			this.covariance[index][i] *= scale;
			this.covariance[i][index] *= scale;
		}
	}

	private double multiplyCovarianceRow(int row, double[] features) {
		double sum = 0;
		for (int i = 0; i < features.length; i++) {
			sum += this.covariance[row][i] * features[i];
		}
		return sum;
	}

	@Override
	public String toString() {
		return Arrays.toString(this.coefficients);
	}

}
