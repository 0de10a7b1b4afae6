package org.gullsaddle.serve;

/**
 * How long a replica takes for its work beside its peers, by the figures that it tells
 * and the delays of its answers. Confined to one thread.
 * <p>
 * A figure may or may not include how fast the replica is for good. So delays are
 * compared with what the figures explain, and only the rest is learned: neither counts
 * twice.
 */
final class ReplicaSlowdownTracker {

	/** How long a figure stays about as it was, in milliseconds. */
	private static final double REPORT_DECAY_MILLIS = 300;

	/** How long what is known of a replica that tells nothing lasts, likewise. */
	private static final double LEARNED_DECAY_MILLIS = 30_000;

	private static final double PERCENT = 100;

	private static final double MIN_SLOWDOWN = 0.4;

	private static final double MAX_REPORTED_SLOWDOWN = 10;

	private static final double MAX_LEARNED_SLOWDOWN = 3;

	/** What a figure counts in the usual one, if it tells nothing of that before it. */
	private static final double REPORT_WEIGHT = 0.1;

	/** The variance of lasting paces, in logarithms. */
	static final double PRIOR_LOG_VARIANCE = 0.16;

	/** The least variance of a replica's delays beside what is expected, likewise. */
	private static final double MIN_LOG_VARIANCE = 0.09;

	/** By how much one delay may count as off, likewise. */
	private static final double MAX_LOG_RATIO = Math.log(10);

	private final DecayingMean reportedMean = new DecayingMean();

	private final DecayingMean learnedLogMean = new DecayingMean();

	private double lastReported = 1;

	private long reportedAt = Long.MIN_VALUE;

	boolean reported() {
		return this.reportedAt != Long.MIN_VALUE;
	}

	/**
	 * Takes in a figure.
	 * @param percent how long work takes now, 100 as usual
	 */
	void reported(long now, int percent, ServiceSlowdownTracker peers) {
		double left = remainingWeight(now, LEARNED_DECAY_MILLIS);
		this.reportedMean.decay(left);
		this.learnedLogMean.decay(left);
		double weight = REPORT_WEIGHT * (1 - remainingWeight(now, REPORT_DECAY_MILLIS));
		this.lastReported = Math.clamp(percent / PERCENT, MIN_SLOWDOWN, MAX_REPORTED_SLOWDOWN);
		this.reportedMean.add(this.lastReported, weight);
		peers.recordReported(this.lastReported, weight);
		this.reportedAt = now;
	}

	/**
	 * Returns its pace for work that begins now.
	 * @param millis how long the work takes at a usual pace
	 */
	Slowdown estimate(long now, double millis, ServiceSlowdownTracker peers) {
		double left = remainingWeight(now, LEARNED_DECAY_MILLIS);
		double usual = this.reportedMean.estimate(peers.meanReported(), left);
		double slower = Math.exp(this.learnedLogMean.estimate(0, left));
		double bounded = Math.clamp(slower, MIN_SLOWDOWN, MAX_LEARNED_SLOWDOWN);
		return new Slowdown(usual * shortTermFactor(now, usual, Math.max(1, millis * usual * bounded)), bounded);
	}

	/**
	 * Returns how many times longer work takes as the pace is not the usual one, which it
	 * comes back to meanwhile: a short piece of work is slowed as a whole, a long one at
	 * its beginning. The pace falls off exponentially; this is the time in which work
	 * that is done at that pace ends.
	 */
	private double shortTermFactor(long now, double usual, double millis) {
		double more = (this.lastReported / usual - 1) * remainingWeight(now, REPORT_DECAY_MILLIS);
		double part = -Math.expm1(-millis / REPORT_DECAY_MILLIS);
		return 1 + REPORT_DECAY_MILLIS / millis * Math.log1p(more * part);
	}

	/**
	 * Learns from the delay of an answer.
	 * @param choice what was expected of it
	 */
	void recordAnswerDelay(ReplicaChoice choice, double millis, ServiceSlowdownTracker peers) {
		double expected = Math.max(1, choice.delay().expectedMillis());
		double ratio = Math.log(Math.max(1, millis) / expected * choice.slowdown().learned());
		double bounded = Math.clamp(ratio, -MAX_LOG_RATIO, MAX_LOG_RATIO);
		double beside = bounded - peers.meanLogRatio();
		double variance = peers.updateVariance(beside - this.learnedLogMean.estimate(0, 1));
		this.learnedLogMean.add(beside, PRIOR_LOG_VARIANCE / Math.max(MIN_LOG_VARIANCE, variance));
		peers.recordDelayRatio(bounded);
	}

	private double remainingWeight(long now, double holds) {
		return reported() ? Math.exp(-Math.max(0, now - this.reportedAt) / holds) : 0;
	}

}
