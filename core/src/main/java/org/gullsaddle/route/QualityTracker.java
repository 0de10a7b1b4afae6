package org.gullsaddle.route;

import java.util.HashMap;
import java.util.Map;

import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.TemplateName;

/**
 * What ratings have shown of each version, per template and team, started from the
 * operator's expectation.
 */
final class QualityTracker {

	/** How many ratings the operator's expectation counts for. */
	private static final double PRIOR_RATINGS = 20;

	/** Older ratings fade, so that a drift shows within a few hundred ratings. */
	private static final double MAX_RATINGS = 400;

	private static final double PRIOR_VARIANCE = 0.04;

	/**
	 * What is left of a version's promise on prompts that a cheaper one answered badly.
	 */
	private static final double HARDER_PROMPTS_FACTOR = 0.8;

	/** One-sided 90 % normal quantile for the lower bound. */
	private static final double NORMAL_QUANTILE_90 = 1.28;

	private final Map<RatingKey, RatingStatistics> statistics = new HashMap<>();

	/**
	 * Returns the value that the version's mean rating exceeds with 90 % confidence.
	 */
	double lowerBound(RatingKey subject, double expected) {
		RatingStatistics r = statistics(subject, expected);
		// The operator's word is trusted as it stands until ratings contradict it.
		double margin = NORMAL_QUANTILE_90 * Math.sqrt(r.variance() / r.weight)
				* Math.min(1, r.ratingsSeen / PRIOR_RATINGS);
		return r.mean - margin;
	}

	/**
	 * Returns the part of answers that reached the bar.
	 */
	double passRatio(RatingKey subject, double expected) {
		return statistics(subject, expected).passRatio();
	}

	/**
	 * Returns the mean rating of the answers that reached the bar.
	 */
	double meanPassingRating(RatingKey subject, double expected, double bar) {
		return Math.max(bar, statistics(subject, expected).meanPassingRating());
	}

	void recordRating(RatingKey subject, double expected, double score, double bar) {
		statistics(subject, expected).add(score, bar);
	}

	private RatingStatistics statistics(RatingKey subject, double expected) {
		double hoped = (subject.previousVersion() != null) ? expected * HARDER_PROMPTS_FACTOR : expected;
		return this.statistics.computeIfAbsent(subject, (key) -> new RatingStatistics(hoped));
	}

	/**
	 * What is rated: a version on a team's prompts, or on those of them that another
	 * version answered badly before, which are harder.
	 *
	 * @param after the version before, or null
	 */
	record RatingKey(TemplateName template, TeamId team, ModelVersion version, ModelVersion previousVersion) {
	}

	private static final class RatingStatistics {

		private double weight = PRIOR_RATINGS;

		private double ratingsSeen;

		private double mean;

		private double squaredDeviations;

		private double passedWeight;

		private double passedRatingSum;

		RatingStatistics(double expected) {
			this.mean = expected;
			this.squaredDeviations = PRIOR_VARIANCE * PRIOR_RATINGS;
			this.passedWeight = expected * PRIOR_RATINGS;
			this.passedRatingSum = this.passedWeight * Math.sqrt(expected);
		}

		void add(double score, double bar) {
			if (this.weight >= MAX_RATINGS) {
				double keep = 1 - 1 / MAX_RATINGS;
				this.weight *= keep;
				this.squaredDeviations *= keep;
				this.passedWeight *= keep;
				this.passedRatingSum *= keep;
			}
			this.ratingsSeen++;
			this.weight++;
			double delta = score - this.mean;
			this.mean += delta / this.weight;
			this.squaredDeviations += delta * (score - this.mean);
			if (score >= bar) {
				this.passedWeight++;
				this.passedRatingSum += score;
			}
		}

		double variance() {
			return this.squaredDeviations / this.weight;
		}

		double passRatio() {
			return Math.min(1, this.passedWeight / this.weight);
		}

		double meanPassingRating() {
			return (this.passedWeight > 0) ? Math.min(1, this.passedRatingSum / this.passedWeight) : 0;
		}

	}

}
