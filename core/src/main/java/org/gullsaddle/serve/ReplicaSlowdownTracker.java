package org.gullsaddle.serve;

/**
 * Estimates how long a replica takes for its work relative to the other replicas of its
 * service, from the slowdowns it reports and the delays of its answers. Confined to one
 * thread.
 * <p>
 * A reported slowdown may or may not include the replica's permanent speed. So delays are
 * compared with what the reports explain, and only the remainder is learned: neither
 * counts twice.
 */
final class ReplicaSlowdownTracker {

	/** Time constant of the decay of a report. */
	private static final double REPORT_DECAY_MILLIS = 300;

	/**
	 * Time constant of the decay of what is known about a replica that reports nothing.
	 */
	private static final double LEARNED_DECAY_MILLIS = 30_000;

	private static final double PERCENT = 100;

	private static final double MIN_SLOWDOWN = 0.4;

	private static final double MAX_REPORTED_SLOWDOWN = 10;

	private static final double MAX_LEARNED_SLOWDOWN = 3;

	/**
	 * The weight of a report in the mean, if it is independent of the report before it.
	 */
	private static final double REPORT_WEIGHT = 0.1;

	/** The prior variance of permanent slowdowns, in logarithms. */
	static final double PRIOR_LOG_VARIANCE = 0.16;

	/**
	 * The smallest variance of a replica's delays around their expectation, in
	 * logarithms.
	 */
	private static final double MIN_LOG_VARIANCE = 0.09;

	/** The largest deviation that one delay counts with, in logarithms. */
	private static final double MAX_LOG_RATIO = Math.log(10);

	private final DecayingMean reportedMean = new DecayingMean();

	private final DecayingMean learnedLogMean = new DecayingMean();

	private double lastReported = 1;

	private long reportedAt = Long.MIN_VALUE;

	boolean hasReported() {
		return this.reportedAt != Long.MIN_VALUE;
	}

	/**
	 * Records a reported slowdown.
	 * @param percent how long work takes now, 100 as usual
	 */
	void onReported(long now, int percent, ServiceSlowdownTracker service) {
		double remaining = remainingWeight(now, LEARNED_DECAY_MILLIS);
		this.reportedMean.decay(remaining);
		this.learnedLogMean.decay(remaining);
		double weight = REPORT_WEIGHT * (1 - remainingWeight(now, REPORT_DECAY_MILLIS));
		this.lastReported = Math.clamp(percent / PERCENT, MIN_SLOWDOWN, MAX_REPORTED_SLOWDOWN);
		this.reportedMean.add(this.lastReported, weight);
		service.recordReported(this.lastReported, weight);
		this.reportedAt = now;
	}

	/**
	 * Estimates the slowdown of work that begins now.
	 * @param millis how long the work takes without a slowdown
	 */
	Slowdown estimate(long now, double millis, ServiceSlowdownTracker service) {
		double remaining = remainingWeight(now, LEARNED_DECAY_MILLIS);
		double baseline = this.reportedMean.estimate(service.meanReported(), remaining);
		double learnedSlowdown = Math.exp(this.learnedLogMean.estimate(0, remaining));
		double bounded = Math.clamp(learnedSlowdown, MIN_SLOWDOWN, MAX_LEARNED_SLOWDOWN);
		return new Slowdown(baseline * shortTermFactor(now, baseline, Math.max(1, millis * baseline * bounded)),
				bounded);
	}

	/**
	 * Returns how many times longer work takes because the last reported slowdown differs
	 * from the usual one. The difference decays exponentially, so short work is slowed as
	 * a whole and long work only at its beginning; the result is the integral over the
	 * work's duration.
	 */
	private double shortTermFactor(long now, double baseline, double millis) {
		double excess = (this.lastReported / baseline - 1) * remainingWeight(now, REPORT_DECAY_MILLIS);
		double decayedShare = -Math.expm1(-millis / REPORT_DECAY_MILLIS);
		return 1 + REPORT_DECAY_MILLIS / millis * Math.log1p(excess * decayedShare);
	}

	/**
	 * Learns from the delay of an answer.
	 * @param choice what was expected of it
	 */
	void recordAnswerDelay(ReplicaChoice choice, double millis, ServiceSlowdownTracker service) {
		double expected = Math.max(1, choice.delay().expectedMillis());
		double ratio = Math.log(Math.max(1, millis) / expected * choice.slowdown().learned());
		double bounded = Math.clamp(ratio, -MAX_LOG_RATIO, MAX_LOG_RATIO);
		double relativeRatio = bounded - service.meanLogRatio();
		double variance = service.updateVariance(relativeRatio - this.learnedLogMean.estimate(0, 1));
		this.learnedLogMean.add(relativeRatio, PRIOR_LOG_VARIANCE / Math.max(MIN_LOG_VARIANCE, variance));
		service.recordDelayRatio(bounded);
	}

	private double remainingWeight(long now, double decayMillis) {
		return hasReported() ? Math.exp(-Math.max(0, now - this.reportedAt) / decayMillis) : 0;
	}

}
