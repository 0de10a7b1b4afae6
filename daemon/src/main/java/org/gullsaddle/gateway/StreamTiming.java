package org.gullsaddle.gateway;

/**
 * Times the events of a stream. All times are in milliseconds.
 */
final class StreamTiming {

	private long begunAt;

	private long firstAt = -1;

	private long lastAt;

	private long longestGap;

	void begin(long now) {
		this.begunAt = now;
		this.firstAt = -1;
		this.longestGap = 0;
	}

	/**
	 * Notes that one event came, or several together.
	 * @param readSince since when the replica has been read: before, nothing could come
	 */
	void event(long now, long readSince) {
		if (this.firstAt < 0) {
			this.firstAt = now;
		}
		else {
			this.longestGap = Math.max(this.longestGap, now - Math.max(this.lastAt, readSince));
		}
		this.lastAt = now;
	}

	/**
	 * Returns how long the first event took, up to now if there was none.
	 */
	long firstMillis(long now) {
		return ((this.firstAt >= 0) ? this.firstAt : now) - this.begunAt;
	}

	/**
	 * Says whether an event has come.
	 */
	boolean begun() {
		return this.firstAt >= 0;
	}

	long longestGap() {
		return this.longestGap;
	}

}
