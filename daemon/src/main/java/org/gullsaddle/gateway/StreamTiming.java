package org.gullsaddle.gateway;

/**
 * Measures the time to the first event of a stream and its longest gap. All times are in
 * milliseconds.
 */
final class StreamTiming {

	private long beganAt;

	private long firstEventAt = -1;

	private long lastEventAt;

	private long longestGapMillis;

	void begin(long now) {
		this.beganAt = now;
		this.firstEventAt = -1;
		this.longestGapMillis = 0;
	}

	/**
	 * Records that one or several events arrived.
	 * @param readSince since when the replica has been read; nothing could arrive before
	 */
	void onEvent(long now, long readSince) {
		if (this.firstEventAt < 0) {
			this.firstEventAt = now;
		}
		else {
			this.longestGapMillis = Math.max(this.longestGapMillis, now - Math.max(this.lastEventAt, readSince));
		}
		this.lastEventAt = now;
	}

	/**
	 * Returns the time to the first event, or the time until now if there was none.
	 */
	long firstEventMillis(long now) {
		return ((this.firstEventAt >= 0) ? this.firstEventAt : now) - this.beganAt;
	}

	/**
	 * Returns whether an event has arrived.
	 */
	boolean hasBegun() {
		return this.firstEventAt >= 0;
	}

	long longestGapMillis() {
		return this.longestGapMillis;
	}

}
