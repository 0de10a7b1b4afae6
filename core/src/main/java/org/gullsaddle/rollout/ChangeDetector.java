package org.gullsaddle.rollout;

/**
 * A cumulative sum test: sums the evidence for "bad" against "good" and starts anew
 * whenever it falls below nothing, so that a long good time does not hide a turn for the
 * worse.
 */
public final class ChangeDetector {

	private final double threshold;

	private double sum;

	/**
	 * Makes a test.
	 * @param threshold how much evidence is enough
	 */
	public ChangeDetector(double threshold) {
		this.threshold = threshold;
	}

	/**
	 * Adds evidence.
	 * @param evidence the evidence, positive for bad
	 * @return true once it is enough
	 */
	public boolean add(double evidence) {
		this.sum = Math.max(0, this.sum + evidence);
		return this.sum >= this.threshold;
	}

	/**
	 * Returns the evidence so far.
	 * @return the sum, 0 or more
	 */
	public double sum() {
		return this.sum;
	}

}
