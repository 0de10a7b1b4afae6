package org.gullsaddle.gateway;

/**
 * Detects that the process stalled because it was frozen or got no processor time.
 * <p>
 * After a stall all replicas seem to have been silent although their bytes wait in the
 * sockets; each open stream would be moved and rerun needlessly. Silence is therefore
 * counted from the end of the stall; a replica that is really silent is detected one
 * silence limit later.
 */
final class StallDetector {

	/**
	 * Delay of a periodic check that counts as a stall, in milliseconds: several times
	 * the delay on a busy node, and less than any silence limit.
	 */
	private static final long MIN_STALL_MILLIS = 500;

	/**
	 * Delay of a check after which bytes in the sockets count as old, in milliseconds: a
	 * fraction of the second within which callers expect a node to read their requests.
	 */
	private static final long MIN_LAG_MILLIS = 200;

	/**
	 * How long after such a check sockets may still hold old bytes, in milliseconds.
	 */
	private static final long CATCH_UP_MILLIS = 1000;

	private long lastCheckAt = Long.MAX_VALUE;

	private long caughtUpAt = Long.MIN_VALUE;

	private long resumedAt = Long.MIN_VALUE;

	/**
	 * Records a periodic check.
	 * @return how long the process stalled before it, in milliseconds, 0 if it did not
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
	 * Returns whether bytes that are read now may have arrived long ago.
	 */
	boolean isBehind(long now) {
		boolean lookIsLate = this.lastCheckAt != Long.MAX_VALUE && now - this.lastCheckAt >= MIN_LAG_MILLIS;
		return lookIsLate || now < this.caughtUpAt;
	}

	/**
	 * Returns since when a replica counts as silent.
	 */
	long silentSince(long lastByteAt) {
		return Math.max(lastByteAt, this.resumedAt);
	}

}
