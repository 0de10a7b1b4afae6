package org.gullsaddle.serve;

/**
 * Estimates how many requests of other nodes a replica has, from its last report.
 * <p>
 * A count is valid for about as long as a request takes. The older the report, the more
 * the mean of all replicas replaces it: a node that uses a replica every ten seconds
 * would otherwise rely on an outdated queue length, and would assume that a replica it
 * has never used is idle.
 */
final class ReportedLoad {

	/**
	 * Time constant of the decay of a report: queues stay about the same for this long.
	 */
	private static final double DECAY_MILLIS = 1500;

	private double count;

	private long reportedAt = Long.MIN_VALUE;

	/**
	 * Records a count.
	 * @param now the time in milliseconds
	 * @param newCount how many requests belong to other nodes
	 */
	void onReport(long now, double newCount) {
		this.count = Math.max(0, newCount);
		this.reportedAt = now;
	}

	/**
	 * Returns the age of the report in milliseconds, or the longest time if there is
	 * none.
	 */
	long ageMillis(long now) {
		return (this.reportedAt != Long.MIN_VALUE) ? now - this.reportedAt : Long.MAX_VALUE;
	}

	/**
	 * Returns the weight of the report, from 1 if it is new to 0.
	 */
	double weight(long now) {
		return (this.reportedAt != Long.MIN_VALUE) ? Math.exp(-(now - this.reportedAt) / DECAY_MILLIS) : 0;
	}

	/**
	 * Estimates the present count.
	 * @param meanCount the mean count of all replicas
	 */
	double estimate(long now, double meanCount) {
		double weight = weight(now);
		return weight * this.count + (1 - weight) * meanCount;
	}

	/**
	 * Returns the mean of several replicas' counts, weighted by the age of each.
	 */
	static double mean(long now, Iterable<ReportedLoad> loads) {
		double sum = 0;
		double weights = 0;
		for (ReportedLoad load : loads) {
			double weight = load.weight(now);
			sum += weight * load.count;
			weights += weight;
		}
		return (weights > 0) ? sum / weights : 0;
	}

}
