package org.gullsaddle.gateway;

/**
 * Times the events of a stream. All times are in milliseconds.
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
	 * Notes that one event came, or several together.
	 * @param readSince since when the replica has been read: before, nothing could come
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
	 * Returns how long the first event took, up to now if there was none.
	 */
	long firstEventMillis(long now) {
		return ((this.firstEventAt >= 0) ? this.firstEventAt : now) - this.beganAt;
	}

	/**
	 * Says whether an event has come.
	 */
	boolean hasBegun() {
		return this.firstEventAt >= 0;
	}

	long longestGapMillis() {
		return this.longestGapMillis;
	}

}
