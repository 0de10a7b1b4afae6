package org.gullsaddle.serve;

/**
 * How fast requests of one service and rank come and end, and how many are open beyond
 * the usual. Confined to one thread.
 */
final class RankFlow {

	/** How long what came and ended counts, as the time until half is forgotten. */
	private static final double RECENT_MILLIS = 3000;

	/** How long the usual number of open requests is remembered, in the same way. */
	private static final double USUAL_MILLIS = 30_000;

	private final Recent asked = new Recent(RECENT_MILLIS);

	private final Recent ended = new Recent(RECENT_MILLIS);

	private int endsSeen;

	private int open;

	private double usual;

	/** How much of the usual number is known, 0 to 1. */
	private double known;

	private long at;

	private boolean begun;

	void opened(long now) {
		settle(now);
		this.open++;
		this.asked.add(now, 1);
	}

	/**
	 * Notes that a request is open no longer.
	 * @param ran whether it leaves room that it took
	 */
	void closed(long now, boolean ran) {
		settle(now);
		this.open--;
		if (ran) {
			this.endsSeen++;
			this.ended.add(now, 1);
		}
	}

	private void settle(long now) {
		double passed = this.begun ? Math.max(0, now - this.at) : 0;
		double keep = Math.pow(0.5, passed / USUAL_MILLIS);
		this.usual = this.usual * keep + this.open * (1 - keep);
		this.known = this.known * keep + 1 - keep;
		this.at = this.begun ? Math.max(this.at, now) : now;
		this.begun = true;
	}

	/**
	 * Returns how many requests are open beyond the usual.
	 */
	double waiting(long now) {
		settle(now);
		return (this.known > 0) ? Math.max(0, this.open - this.usual / this.known) : 0;
	}

	/**
	 * Returns how many requests end, a millisecond.
	 */
	double endRate(long now) {
		return this.ended.rate(now);
	}

	double askedLately(long now) {
		return this.asked.sum(now);
	}

	int endsSeen() {
		return this.endsSeen;
	}

}
