package org.gullsaddle.clock;

/**
 * The time of an event, by both clocks.
 *
 * @param millis milliseconds on the node's monotonic clock, for timers and deadlines
 * @param stamp a hybrid logical clock stamp, for the ledger
 */
public record Moment(long millis, long stamp) {

	/**
	 * Returns a moment whose stamp has the same time, for tests and for logic that writes
	 * no records.
	 * @param millis milliseconds on the monotonic clock
	 * @return the moment
	 */
	public static Moment at(long millis) {
		return new Moment(millis, HybridClock.stamp(millis, 0));
	}

}
