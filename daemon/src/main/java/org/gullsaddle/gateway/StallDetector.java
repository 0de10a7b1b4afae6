package org.gullsaddle.gateway;

/**
 * Notices that the process stood still, frozen or starved of its processor.
 * <p>
 * When it goes on, all its replicas seem to have been silent, though their bytes lie in
 * its sockets; each open stream would be moved, and run anew, for nothing. Silence is
 * counted from when the process went on; what is really silent is found one patience
 * later.
 */
final class StallDetector {

	/**
	 * How late a periodic look must be to count as a standstill, in milliseconds: several
	 * times what a busy node is late by, and less than any patience.
	 */
	private static final long MIN_STALL_MILLIS = 500;

	/**
	 * How late a look must be for what lies in the sockets to be old, in milliseconds: a
	 * part of the second that callers give a node to read their requests.
	 */
	private static final long MIN_LAG_MILLIS = 200;

	/** How long after such a look sockets may still hold old bytes, in milliseconds. */
	private static final long CATCH_UP_MILLIS = 1000;

	private long lastCheckAt = Long.MAX_VALUE;

	private long caughtUpAt = Long.MIN_VALUE;

	private long resumedAt = Long.MIN_VALUE;

	/**
	 * Notes a periodic look.
	 * @return how long the process stood still before it, in milliseconds, 0 if it did
	 * not
	 */
	long check(long now) {
		long late = (this.lastCheckAt == Long.MAX_VALUE) ? 0 : now - this.lastCheckAt;
		this.lastCheckAt = now;
		if (late >= MIN_LAG_MILLIS) {
			this.caughtUpAt = now + CATCH_UP_MILLIS;
		}
		if (late < MIN_STALL_MILLIS) {
			return 0;
		}
		this.resumedAt = now;
		return late;
	}

	/**
	 * Says whether bytes that are read now may have come long ago.
	 */
	boolean isBehind(long now) {
		boolean lookIsLate = this.lastCheckAt != Long.MAX_VALUE && now - this.lastCheckAt >= MIN_LAG_MILLIS;
		return lookIsLate || now < this.caughtUpAt;
	}

	/**
	 * Returns since when bytes have been waited for that last came at a time.
	 */
	long silentSince(long lastByteAt) {
		return Math.max(lastByteAt, this.resumedAt);
	}

}
