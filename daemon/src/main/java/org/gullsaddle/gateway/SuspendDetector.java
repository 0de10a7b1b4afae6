package org.gullsaddle.gateway;

/**
 * Notices that the machine was suspended: the clock that counts intervals stands still
 * then, and the time of day does not. A time of day that was set forward looks the same,
 * and makes knowledge look old that is not.
 */
final class SuspendDetector {

	/** By how much the clocks must differ to count, in milliseconds. */
	private static final long MIN_SUSPEND_MILLIS = 300;

	private boolean started;

	private long offsetMillis;

	/**
	 * Compares the clocks.
	 * @param steady the clock that counts intervals, in milliseconds
	 * @param timeOfDay the time of day, in milliseconds
	 * @return how long the machine was suspended since the last look, in milliseconds, 0
	 * if it was not
	 */
	long check(long steady, long timeOfDay) {
		long before = this.started ? this.offsetMillis : timeOfDay - steady;
		this.started = true;
		this.offsetMillis = timeOfDay - steady;
		long slept = this.offsetMillis - before;
		if (slept >= MIN_SUSPEND_MILLIS) {
			return slept;
		}
		if (slept > 0) {
			// Small steps add up: a clock that is set forward in them is a drift.
			this.offsetMillis = before;
		}
		return 0;
	}

}
