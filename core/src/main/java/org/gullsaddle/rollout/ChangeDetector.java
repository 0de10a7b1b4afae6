package org.gullsaddle.rollout;

/**
 * A cumulative sum test: sums the evidence for "bad" against "good" and starts anew
 * whenever it falls below nothing, so that a long good time does not hide a turn for the
 * worse.
 */
final class ChangeDetector {

	private final double threshold;

	private double sum;

	ChangeDetector(double threshold) {
		this.threshold = threshold;
	}

	/**
	 * Adds evidence, positive for bad.
	 * @return true once it is enough
	 */
	boolean add(double evidence) {
		this.sum = Math.max(0, this.sum + evidence);
		return this.sum >= this.threshold;
	}

	double sum() {
		return this.sum;
	}

}
