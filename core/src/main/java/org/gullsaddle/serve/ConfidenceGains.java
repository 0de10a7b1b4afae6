package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how much more a larger model trusts its answer than a smaller one does, for the
 * same request.
 * <p>
 * Confidence falls with how hard a request is for a model, so that the smaller model's
 * opinion also tells what the larger one's will be. Confined to one thread.
 */
final class ConfidenceGains {

	/**
	 * The gain that is taken for granted before anything was compared: little, so that a
	 * model between the smallest and the largest is tried where it is nearly enough.
	 */
	private static final double PRIOR_GAIN = 10;

	/** How many comparisons the first gain weighs. */
	private static final double PRIOR_WEIGHT = 4;

	/** How many comparisons are remembered, so that a new release is learned anew. */
	private static final double MAX_WEIGHT = 60;

	private static final int MIN_CONFIDENCE = 0;

	private static final int MAX_CONFIDENCE = 100;

	private final Map<Pair, Mean> means = new HashMap<>();

	/**
	 * Takes in two opinions of one request. Those at the ends of the scale say only that
	 * the gain is at least, or at most, so much, and are left out.
	 */
	void recordComparison(String smaller, int confidence, String larger, int largerConfidence) {
		if (confidence <= MIN_CONFIDENCE || largerConfidence >= MAX_CONFIDENCE || largerConfidence < 0) {
			return;
		}
		this.means.computeIfAbsent(new Pair(smaller, larger), (pair) -> new Mean()).add(largerConfidence - confidence);
	}

	double expectedGain(String smaller, String larger) {
		Mean mean = this.means.get(new Pair(smaller, larger));
		return (mean != null) ? mean.value : PRIOR_GAIN;
	}

	private record Pair(String smaller, String larger) {
	}

	private static final class Mean {

		private double value = PRIOR_GAIN;

		private double weight = PRIOR_WEIGHT;

		void add(double gain) {
			this.weight = Math.min(MAX_WEIGHT, this.weight + 1);
			this.value += (gain - this.value) / this.weight;
		}

	}

}
