package org.gullsaddle.gateway;

/**
 * The steady clock. The time of day may jump; nothing that the gateway decides reads it.
 */
final class MonotonicClock {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private MonotonicClock() {
	}

	static long millis() {
		return System.nanoTime() / NANOS_PER_MILLI;
	}

}
