package org.gullsaddle.serve;

/**
 * What the replicas of a service tell and take on the mean. Confined to one thread.
 */
final class ServiceSlowdownTracker {

	private final DecayingMean reportedMean = new DecayingMean();

	private final DecayingMean logRatioMean = new DecayingMean();

	private final DecayingMean squaredErrorMean = new DecayingMean();

	void recordReported(double figure, double weight) {
		this.reportedMean.add(figure, weight);
	}

	void recordDelayRatio(double ratio) {
		this.logRatioMean.add(ratio, 1);
	}

	/**
	 * Takes in how far a delay was from what is known of its replica, and returns the
	 * variance of that: it is large while what is expected of all is still learned.
	 */
	double updateVariance(double error) {
		this.squaredErrorMean.add(error * error, 1);
		return this.squaredErrorMean.estimate(ReplicaSlowdownTracker.PRIOR_LOG_VARIANCE, 1);
	}

	double meanReported() {
		return this.reportedMean.estimate(1, 1);
	}

	/**
	 * Returns by how much answers take longer than expected, as a logarithm: what is
	 * expected of all is learned elsewhere, and a replica is compared with the others.
	 */
	double meanLogRatio() {
		return this.logRatioMean.estimate(0, 1);
	}

}
