package org.gullsaddle.gateway;

/**
 * Clock for intervals. The time of day may jump, so the gateway does not base decisions
 * on it.
 */
final class MonotonicClock {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private MonotonicClock() {
	}

	static long millis() {
		return System.nanoTime() / NANOS_PER_MILLI;
	}

}
