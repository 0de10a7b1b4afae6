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
final class QualityBook {

	/** How many ratings the operator's expectation counts for. */
	private static final double PRIOR_RATINGS = 20;

	/** Older ratings fade, so that a drift shows within a few hundred ratings. */
	private static final double MAX_RATINGS = 400;

	private static final double PRIOR_VARIANCE = 0.04;

	/**
	 * What is left of a version's promise on prompts that a cheaper one answered badly.
	 */
	private static final double HARDER = 0.8;

	/** One-sided 90 % normal quantile for the lower bound. */
	private static final double BOUND = 1.28;

	private final Map<Subject, Ratings> ratings = new HashMap<>();

	/**
	 * Returns the value that the version's mean rating exceeds with 90 % confidence.
	 */
	double lowerBound(Subject subject, double expected) {
		Ratings r = get(subject, expected);
		// The operator's word is trusted as it stands until ratings contradict it.
		double margin = BOUND * Math.sqrt(r.variance() / r.count) * Math.min(1, r.seen / PRIOR_RATINGS);
		return r.mean - margin;
	}

	/**
	 * Returns the part of answers that reached the bar.
	 */
	double passShare(Subject subject, double expected) {
		return get(subject, expected).passes();
	}

	/**
	 * Returns the mean rating of the answers that reached the bar.
	 */
	double passMean(Subject subject, double expected, double bar) {
		return Math.max(bar, get(subject, expected).passMean());
	}

	void rated(Subject subject, double expected, double score, double bar) {
		get(subject, expected).add(score, bar);
	}

	private Ratings get(Subject subject, double expected) {
		double hoped = (subject.after() != null) ? expected * HARDER : expected;
		return this.ratings.computeIfAbsent(subject, (key) -> new Ratings(hoped));
	}

	/**
	 * What is rated: a version on a team's prompts, or on those of them that another
	 * version answered badly before, which are harder.
	 *
	 * @param after the version before, or null
	 */
	record Subject(TemplateName template, TeamId team, ModelVersion version, ModelVersion after) {
	}

	private static final class Ratings {

		private double count = PRIOR_RATINGS;

		private double seen;

		private double mean;

		private double squares;

		private double passed;

		private double passedSum;

		Ratings(double expected) {
			this.mean = expected;
			this.squares = PRIOR_VARIANCE * PRIOR_RATINGS;
			this.passed = expected * PRIOR_RATINGS;
			this.passedSum = this.passed * Math.sqrt(expected);
		}

		void add(double score, double bar) {
			if (this.count >= MAX_RATINGS) {
				double keep = 1 - 1 / MAX_RATINGS;
				this.count *= keep;
				this.squares *= keep;
				this.passed *= keep;
				this.passedSum *= keep;
			}
			this.seen++;
			this.count++;
			double delta = score - this.mean;
			this.mean += delta / this.count;
			this.squares += delta * (score - this.mean);
			if (score >= bar) {
				this.passed++;
				this.passedSum += score;
			}
		}

		double variance() {
			return this.squares / this.count;
		}

		double passes() {
			return Math.min(1, this.passed / this.count);
		}

		double passMean() {
			return (this.passed > 0) ? Math.min(1, this.passedSum / this.passed) : 0;
		}

	}

}
