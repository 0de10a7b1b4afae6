package org.gullsaddle.serve;

/**
 * How fast requests of one service and rank come and end, and how many are open beyond
 * the usual. Confined to one thread.
 */
final class RankFlow {

	/** How long what came and ended counts, as the time until half is forgotten. */
	private static final double RECENT_HALF_LIFE_MILLIS = 3000;

	/** How long the usual number of open requests is remembered, in the same way. */
	private static final double USUAL_HALF_LIFE_MILLIS = 30_000;

	private final DecayingSum recentRequests = new DecayingSum(RECENT_HALF_LIFE_MILLIS);

	private final DecayingSum recentEnds = new DecayingSum(RECENT_HALF_LIFE_MILLIS);

	private int endCount;

	private int open;

	private double usualOpen;

	/** How much of the usual number is known, 0 to 1. */
	private double usualWeight;

	private long updatedAt;

	private boolean started;

	void onRequestOpened(long now) {
		advance(now);
		this.open++;
		this.recentRequests.add(now, 1);
	}

	/**
	 * Notes that a request is open no longer.
	 * @param ran whether it leaves room that it took
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
	 * Returns how many requests are open beyond the usual.
	 */
	double excessOpenRequests(long now) {
		advance(now);
		return (this.usualWeight > 0) ? Math.max(0, this.open - this.usualOpen / this.usualWeight) : 0;
	}

	/**
	 * Returns how many requests end, a millisecond.
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
