package org.gullsaddle.clock;

/**
 * A hybrid logical clock: wall-clock milliseconds with a counter that orders what happens
 * within one, and that runs ahead where another node's clock does.
 * <p>
 * Wall clocks of two VMs differ, so that an answer could bear an earlier time than the
 * request that caused it, and a reader of the ledger would take the order for the
 * reverse. Taking the highest stamp seen as a floor keeps cause before effect.
 * Thread-safe.
 */
public final class HybridClock {

	private static final int COUNTER_BITS = 16;

	private static final long COUNTER_MASK = (1L << COUNTER_BITS) - 1;

	/**
	 * How far another node's stamp may lead this node's wall clock, in milliseconds. A
	 * node with a broken clock could otherwise push everyone's stamps into the future.
	 */
	private static final long MAX_LEAD_MILLIS = 60_000;

	private long last;

	/**
	 * Makes a stamp.
	 * @param millis milliseconds since the epoch
	 * @param counter the place within the millisecond
	 * @return the stamp
	 */
	public static long stamp(long millis, int counter) {
		return (millis << COUNTER_BITS) | (counter & COUNTER_MASK);
	}

	/**
	 * Returns the wall-clock part of a stamp.
	 * @param stamp the stamp
	 * @return milliseconds since the epoch
	 */
	public static long millis(long stamp) {
		return stamp >>> COUNTER_BITS;
	}

	/**
	 * Returns the place of a stamp within its millisecond.
	 * @param stamp the stamp
	 * @return the counter
	 */
	public static int counter(long stamp) {
		return (int) (stamp & COUNTER_MASK);
	}

	/**
	 * Stamps a local event.
	 * @param wallMillis the wall clock now, in milliseconds since the epoch
	 * @return a stamp above all earlier ones
	 */
	public synchronized long next(long wallMillis) {
		this.last = Math.max(this.last + 1, stamp(wallMillis, 0));
		return this.last;
	}

	/**
	 * Takes in a stamp that another node sent.
	 * @param stamp the other node's stamp
	 * @param wallMillis the wall clock now, in milliseconds since the epoch
	 * @return false if the stamp leads this clock by too much and was left aside
	 */
	public synchronized boolean observe(long stamp, long wallMillis) {
		if (millis(stamp) > wallMillis + MAX_LEAD_MILLIS) {
			return false;
		}
		this.last = Math.max(this.last, stamp);
		return true;
	}

}
