package org.gullsaddle.serve;

import java.util.Arrays;

/**
 * A linear regression that is updated with each observation, by recursive least squares.
 * It starts with a prior, forgets old observations, and uses constant memory. Confined to
 * one thread.
 */
final class OnlineRegression {

	/** The weight of an observation is multiplied by this with each later one. */
	private static final double FORGETTING_RATIO = 0.995;

	/** An error is clamped to this many standard deviations. */
	private static final double MAX_DEVIATIONS = 4;

	/** The weight of the latest observation in the variance. */
	private static final double VARIANCE_SMOOTHING = 0.05;

	private final double[] priorDeviations;

	private final double[] coefficients;

	private final double[][] covariance;

	/** The variance of observations relative to the noise that was assumed for each. */
	private double variance = 1;

	/**
	 * Creates a regression with a prior.
	 * @param prior the expected coefficients, none negative
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
	 * Returns a regression whose prior is what this one has learned.
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
	 * Returns the standard deviation of an observation from its expected value.
	 * @param noise the noise that is assumed for it
	 */
	double predictiveDeviation(double[] features, double noise) {
		double coefficientVariance = 0;
		for (int i = 0; i < features.length; i++) {
			coefficientVariance += features[i] * multiplyCovarianceRow(i, features);
		}
		return Math.sqrt(this.variance * noise * noise + Math.max(0, coefficientVariance));
	}

	/**
	 * Updates the coefficients with an observation.
	 * @param noise the noise that is assumed for it, more than 0
	 */
	void learn(double[] features, double observed, double noise) {
		double error = observed - predict(features);
		double bound = MAX_DEVIATIONS * predictiveDeviation(features, noise);
		double clampedError = Math.clamp(error, -bound, bound);
		double[] direction = new double[features.length];
		double totalVariance = noise * noise;
		for (int i = 0; i < features.length; i++) {
			direction[i] = multiplyCovarianceRow(i, features);
			totalVariance += features[i] * direction[i];
		}
		for (int i = 0; i < features.length; i++) {
			this.coefficients[i] = Math.max(0, this.coefficients[i] + direction[i] * clampedError / totalVariance);
		}
		updateCovariance(direction, totalVariance);
		double normalizedError = clampedError * clampedError / totalVariance;
		this.variance += VARIANCE_SMOOTHING * (normalizedError - this.variance);
	}

	private void updateCovariance(double[] direction, double totalVariance) {
		for (int i = 0; i < direction.length; i++) {
			for (int j = 0; j < direction.length; j++) {
				this.covariance[i][j] = (this.covariance[i][j] - direction[i] * direction[j] / totalVariance)
						/ FORGETTING_RATIO;
			}
		}
		for (int i = 0; i < direction.length; i++) {
			boundUncertainty(i);
		}
	}

	/**
	 * Keeps a coefficient from becoming more uncertain than its prior: without
	 * observations of it, forgetting alone would let its variance grow without bound.
	 */
	private void boundUncertainty(int index) {
		double bound = this.priorDeviations[index] * this.priorDeviations[index];
		if (this.covariance[index][index] <= bound) {
			return;
		}
		double scale = Math.sqrt(bound / this.covariance[index][index]);
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
