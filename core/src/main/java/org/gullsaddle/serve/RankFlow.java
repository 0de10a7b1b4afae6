package org.gullsaddle.serve;

/**
 * The rates at which requests of one service and rank arrive and end, and how many more
 * than usual are open. Confined to one thread.
 */
final class RankFlow {

	/** The half-life of the counts of arrivals and ends, in milliseconds. */
	private static final double RECENT_HALF_LIFE_MILLIS = 3000;

	/** The half-life of the usual number of open requests, in milliseconds. */
	private static final double USUAL_HALF_LIFE_MILLIS = 30_000;

	private final DecayingSum recentRequests = new DecayingSum(RECENT_HALF_LIFE_MILLIS);

	private final DecayingSum recentEnds = new DecayingSum(RECENT_HALF_LIFE_MILLIS);

	private int endCount;

	private int open;

	private double usualOpen;

	/** The total weight in the mean of open requests, 0 to 1. */
	private double usualWeight;

	private long updatedAt;

	private boolean started;

	void onRequestOpened(long now) {
		advance(now);
		this.open++;
		this.recentRequests.add(now, 1);
	}

	/**
	 * Handles the end of a request.
	 * @param ran whether it ran, so that its end frees capacity
	 */
	void onRequestClosed(long now, boolean ran) {
		advance(now);
		this.open--;
		if (ran) {
			this.endCount++;
			this.recentEnds.add(now, 1);
		}
	}

	private void advance(long now) {
		double passed = this.started ? Math.max(0, now - this.updatedAt) : 0;
		double keep = Math.pow(0.5, passed / USUAL_HALF_LIFE_MILLIS);
		this.usualOpen = this.usualOpen * keep + this.open * (1 - keep);
		this.usualWeight = this.usualWeight * keep + 1 - keep;
		this.updatedAt = this.started ? Math.max(this.updatedAt, now) : now;
		this.started = true;
	}

	/**
	 * Returns how many more requests than usual are open.
	 */
	double excessOpenRequests(long now) {
		advance(now);
		return (this.usualWeight > 0) ? Math.max(0, this.open - this.usualOpen / this.usualWeight) : 0;
	}

	/**
	 * Returns the rate at which requests end, per millisecond.
	 */
	double endsPerMilli(long now) {
		return this.recentEnds.ratePerMilli(now);
	}

	double recentRequestCount(long now) {
		return this.recentRequests.sum(now);
	}

	int endCount() {
		return this.endCount;
	}

}
