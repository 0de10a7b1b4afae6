package org.gullsaddle.route;

import java.util.HashMap;
import java.util.Map;

import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.TemplateName;

/**
 * Tracks the ratings of each version per template and team, starting from the quality
 * that the operator expects.
 */
final class QualityTracker {

	/** How many ratings the operator's expectation is worth. */
	private static final double PRIOR_RATINGS = 20;

	/** Limits the weight of older ratings, so that drift shows within a few hundred. */
	private static final double MAX_RATINGS = 400;

	private static final double PRIOR_VARIANCE = 0.04;

	/**
	 * Which part of its expected quality a version reaches on prompts that a cheaper one
	 * answered badly.
	 */
	private static final double HARDER_PROMPTS_FACTOR = 0.8;

	/** The one-sided 90 % quantile of the normal distribution, for the lower bound. */
	private static final double NORMAL_QUANTILE_90 = 1.28;

	private final Map<RatingKey, RatingStatistics> statistics = new HashMap<>();

	/**
	 * Returns a lower bound of the version's mean rating, with 90 % confidence once as
	 * many ratings were seen as the prior is worth.
	 */
	double lowerBound(RatingKey ratingKey, double expected) {
		RatingStatistics known = statistics(ratingKey, expected);
		// The margin grows with the ratings seen, as the operator's expectation is
		// trusted until ratings contradict it.
		double margin = NORMAL_QUANTILE_90 * Math.sqrt(known.variance() / known.weight)
				* Math.min(1, known.ratingsSeen / PRIOR_RATINGS);
		return known.mean - margin;
	}

	/**
	 * Returns the ratio of answers whose rating reached the threshold.
	 */
	double passRatio(RatingKey ratingKey, double expected) {
		return statistics(ratingKey, expected).passRatio();
	}

	/**
	 * Returns the mean rating of the answers that reached the threshold.
	 */
	double meanPassingRating(RatingKey ratingKey, double expected, double threshold) {
		return Math.max(threshold, statistics(ratingKey, expected).meanPassingRating());
	}

	void recordRating(RatingKey ratingKey, double expected, double score, double threshold) {
		statistics(ratingKey, expected).add(score, threshold);
	}

	private RatingStatistics statistics(RatingKey ratingKey, double expected) {
		double prior = (ratingKey.previousVersion() != null) ? expected * HARDER_PROMPTS_FACTOR : expected;
		return this.statistics.computeIfAbsent(ratingKey, (key) -> new RatingStatistics(prior));
	}

	/**
	 * What a rating is about: a version on a team's prompts, or only on those that
	 * another version answered badly before, which are harder.
	 *
	 * @param previousVersion the version that answered before in the cascade, or null
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

		void add(double score, double threshold) {
			if (this.weight >= MAX_RATINGS) {
				double decay = 1 - 1 / MAX_RATINGS;
				this.weight *= decay;
				this.squaredDeviations *= decay;
				this.passedWeight *= decay;
				this.passedRatingSum *= decay;
			}
			this.ratingsSeen++;
			this.weight++;
			double delta = score - this.mean;
			this.mean += delta / this.weight;
			this.squaredDeviations += delta * (score - this.mean);
			if (score >= threshold) {
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
