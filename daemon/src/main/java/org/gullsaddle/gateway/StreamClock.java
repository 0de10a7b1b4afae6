package org.gullsaddle.gateway;

/**
 * Times the events of a stream. All times are in milliseconds.
 */
final class StreamClock {

	private long begunAt;

	private long firstAt = -1;

	private long lastAt;

	private int events;

	private int firstEvents;

	private long longestGap;

	void begin(long now) {
		this.begunAt = now;
		this.firstAt = -1;
		this.events = 0;
		this.longestGap = 0;
	}

	/**
	 * Notes events that came together.
	 */
	void events(long now, int count) {
		if (this.firstAt < 0) {
			this.firstAt = now;
			this.firstEvents = count;
		}
		else {
			this.longestGap = Math.max(this.longestGap, now - this.lastAt);
		}
		this.lastAt = now;
		this.events += count;
	}

	/**
	 * Returns how long the first event took, up to now if there was none.
	 */
	long firstMillis(long now) {
		return ((this.firstAt >= 0) ? this.firstAt : now) - this.begunAt;
	}

	long longestGap() {
		return this.longestGap;
	}

	/**
	 * Returns how many events came after the first.
	 */
	int laterEvents() {
		return this.events - this.firstEvents;
	}

	/**
	 * Returns the mean time between two events, 0 if there were fewer than two.
	 */
	double eventMillis() {
		return (laterEvents() > 0) ? (double) (this.lastAt - this.firstAt) / laterEvents() : 0;
	}

}
