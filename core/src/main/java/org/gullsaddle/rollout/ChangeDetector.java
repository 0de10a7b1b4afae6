package org.gullsaddle.rollout;

/**
 * A cumulative sum (CUSUM) test: sums the evidence for "bad" against "good" and never
 * lets the sum fall below 0, so that a long good period does not hide a later change for
 * the worse.
 */
public final class ChangeDetector {

	private final double threshold;

	private double sum;

	/**
	 * Creates a test.
	 * @param threshold the sum at which the test detects a change
	 */
	public ChangeDetector(double threshold) {
		this.threshold = threshold;
	}

	/**
	 * Adds evidence.
	 * @param evidence a log-likelihood ratio, positive for bad
	 * @return true once the threshold is reached
	 */
	public boolean add(double evidence) {
		this.sum = Math.max(0, this.sum + evidence);
		return this.sum >= this.threshold;
	}

	/**
	 * Returns the accumulated evidence.
	 * @return the sum, 0 or more
	 */
	public double sum() {
		return this.sum;
	}

}
