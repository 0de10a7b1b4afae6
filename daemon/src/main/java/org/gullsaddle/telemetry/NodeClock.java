package org.gullsaddle.telemetry;

import org.gullsaddle.clock.HybridClock;
import org.gullsaddle.clock.Moment;

/**
 * The node's clocks. Thread-safe.
 */
public final class NodeClock {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final HybridClock hybrid = new HybridClock();

	/**
	 * Returns the monotonic time, which does not jump when the wall clock is set.
	 * @return milliseconds since some fixed moment
	 */
	public long millis() {
		return System.nanoTime() / NANOS_PER_MILLI;
	}

	/**
	 * Returns the wall-clock time.
	 * @return milliseconds since the epoch
	 */
	public long wallMillis() {
		return System.currentTimeMillis();
	}

	/**
	 * Stamps a local event.
	 * @return a hybrid logical clock stamp
	 */
	public long stamp() {
		return this.hybrid.next(wallMillis());
	}

	/**
	 * Returns the moment of an event that happens now.
	 * @return the moment
	 */
	public Moment now() {
		return new Moment(millis(), stamp());
	}

	/**
	 * Takes in the stamp of another node's frame.
	 * @param stamp the stamp
	 */
	public void observe(long stamp) {
		this.hybrid.observe(stamp, wallMillis());
	}

}
