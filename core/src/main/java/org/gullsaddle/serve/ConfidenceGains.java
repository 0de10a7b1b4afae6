package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Learns how much more confident a larger model is of its answer than a smaller one is,
 * for the same request. Confidence falls with the difficulty of a request, so the smaller
 * model's confidence predicts the larger one's. Confined to one thread.
 */
final class ConfidenceGains {

	/**
	 * The gain assumed before any comparison. It is small, so that a model between the
	 * smallest and the largest is tried if the smallest is nearly confident enough.
	 */
	private static final double PRIOR_GAIN = 10;

	/** The prior gain counts as this many comparisons. */
	private static final double PRIOR_WEIGHT = 4;

	/** The mean covers about this many comparisons, so that it adapts to new releases. */
	private static final double MAX_WEIGHT = 60;

	private static final int MIN_CONFIDENCE = 0;

	private static final int MAX_CONFIDENCE = 100;

	private final Map<Pair, Mean> means = new HashMap<>();

	/**
	 * Records two models' confidence for one request. Values at the ends of the scale
	 * only bound the gain, so they are ignored.
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

	/**
	 * Drops the comparisons of models that are no longer configured.
	 */
	void retain(Set<String> models) {
		this.means.keySet().removeIf((pair) -> !models.contains(pair.smaller) || !models.contains(pair.larger));
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
