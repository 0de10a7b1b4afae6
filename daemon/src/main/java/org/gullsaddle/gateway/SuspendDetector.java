package org.gullsaddle.gateway;

/**
 * Detects that the machine was suspended: the monotonic clock then stops, the time of day
 * does not. A time of day that is set forward looks the same and makes the node's
 * knowledge seem older than it is.
 */
final class SuspendDetector {

	/**
	 * Smallest difference between the clocks that counts as a suspension, in
	 * milliseconds.
	 */
	private static final long MIN_SUSPEND_MILLIS = 300;

	private boolean started;

	private long offsetMillis;

	/**
	 * Compares the clocks.
	 * @param steady the monotonic clock, in milliseconds
	 * @param timeOfDay the time of day, in milliseconds
	 * @return how long the machine was suspended since the last check, in milliseconds, 0
	 * if it was not
	 */
	long check(long steady, long timeOfDay) {
		long before = this.started ? this.offsetMillis : timeOfDay - steady;
		this.started = true;
		this.offsetMillis = timeOfDay - steady;
		long suspendedMillis = this.offsetMillis - before;
		if (suspendedMillis >= MIN_SUSPEND_MILLIS) {
			return suspendedMillis;
		}
		if (suspendedMillis > 0) {
			// Keeps the old offset, so that small differences (clock drift) add up.
			this.offsetMillis = before;
		}
		return 0;
	}

}
