package org.gullsaddle.serve;

/**
 * Tracks the mean reported slowdown and the mean delay of a service's replicas. Confined
 * to one thread.
 */
final class ServiceSlowdownTracker {

	private final DecayingMean reportedMean = new DecayingMean();

	private final DecayingMean logRatioMean = new DecayingMean();

	private final DecayingMean squaredErrorMean = new DecayingMean();

	void recordReported(double slowdown, double weight) {
		this.reportedMean.add(slowdown, weight);
	}

	void recordDelayRatio(double ratio) {
		this.logRatioMean.add(ratio, 1);
	}

	/**
	 * Records the error of a delay, relative to what is known about its replica, and
	 * returns the variance of errors. It is large while the delays of the service are
	 * still being learned.
	 */
	double updateVariance(double error) {
		this.squaredErrorMean.add(error * error, 1);
		return this.squaredErrorMean.estimate(ReplicaSlowdownTracker.PRIOR_LOG_VARIANCE, 1);
	}

	double meanReported() {
		return this.reportedMean.estimate(1, 1);
	}

	/**
	 * Returns the mean logarithm of actual to expected delays. Expected delays are
	 * learned by the delay model, so a replica is compared with its peers only.
	 */
	double meanLogRatio() {
		return this.logRatioMean.estimate(0, 1);
	}

}
