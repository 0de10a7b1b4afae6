package org.gullsaddle.serve;

/**
 * How many requests of other nodes a replica has, by what it reported last.
 * <p>
 * A count holds for about as long as a request takes. The older the report is, the more
 * the mean of all replicas counts in its place: a node that meets a replica every ten
 * seconds would otherwise take an old queue, or an old lull, for today's, and one that it
 * has never met for idle.
 */
final class ReportedLoad {

	/** How long a count stays about as it was, in milliseconds. */
	private static final double DECAY_MILLIS = 1500;

	private double count;

	private long reportedAt = Long.MIN_VALUE;

	/**
	 * Takes in a count.
	 * @param now the time in milliseconds
	 * @param newCount how many requests are not this node's
	 */
	void onReport(long now, double newCount) {
		this.count = Math.max(0, newCount);
		this.reportedAt = now;
	}

	/**
	 * Returns how old the report is, in milliseconds, or the longest time if there is
	 * none.
	 */
	long ageMillis(long now) {
		return (this.reportedAt != Long.MIN_VALUE) ? now - this.reportedAt : Long.MAX_VALUE;
	}

	/**
	 * Says how much the report still tells, from 1 for a new one to 0.
	 */
	double weight(long now) {
		return (this.reportedAt != Long.MIN_VALUE) ? Math.exp(-(now - this.reportedAt) / DECAY_MILLIS) : 0;
	}

	/**
	 * Returns how many are likely there.
	 * @param usual how many are there on the mean of all replicas
	 */
	double estimate(long now, double usual) {
		double weight = weight(now);
		return weight * this.count + (1 - weight) * usual;
	}

	/**
	 * Returns the mean of several replicas' counts, by how much each still tells.
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
