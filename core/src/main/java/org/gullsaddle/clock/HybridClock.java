package org.gullsaddle.clock;

/**
 * A hybrid logical clock: wall-clock milliseconds and a counter that orders events within
 * a millisecond. It follows other nodes' clocks that are ahead.
 * <p>
 * Wall clocks of two VMs differ, so an answer could have an earlier time than the request
 * that caused it, and a reader of the ledger would see them in the wrong order. Never
 * going below the highest stamp observed keeps causes before effects. Thread-safe.
 */
public final class HybridClock {

	private static final int COUNTER_BITS = 16;

	private static final long COUNTER_MASK = (1L << COUNTER_BITS) - 1;

	/**
	 * How far another node's stamp may be ahead of this node's wall clock. Otherwise a
	 * node with a broken clock could push all nodes' stamps into the future.
	 */
	private static final long MAX_LEAD_MILLIS = 60_000;

	private long last;

	/**
	 * Creates a stamp.
	 * @param millis milliseconds since the epoch
	 * @param counter the position within the millisecond
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
	 * Returns the position of a stamp within its millisecond.
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
	 * Handles a stamp that another node sent, so that later local stamps are above it.
	 * @param stamp the other node's stamp
	 * @param wallMillis the wall clock now, in milliseconds since the epoch
	 * @return false if the stamp is too far ahead of this clock and was ignored
	 */
	public synchronized boolean observe(long stamp, long wallMillis) {
		if (millis(stamp) > wallMillis + MAX_LEAD_MILLIS) {
			return false;
		}
		this.last = Math.max(this.last, stamp);
		return true;
	}

}
