package org.gullsaddle.hold;

import org.gullsaddle.base.Check;

/**
 * What is held for one request in one direction. Tells the whole amount each time rather
 * than what came and went, so that a part that is dropped is not counted for ever.
 */
public final class Holder implements AutoCloseable {

	private static final double MILLIS_PER_SECOND = 1000;

	private final HoldingBudget budget;

	private final String id;

	private final long paceMillis;

	private long held;

	private boolean waits;

	private long waitsSince;

	/** When the window began in which bytes that moved are counted. */
	private long windowStart;

	private long moved;

	private long movedBefore;

	private boolean closed;

	Holder(HoldingBudget budget, String id, long paceMillis) {
		Check.that(paceMillis > 0, "paceMillis must be positive");
		this.budget = budget;
		this.id = id;
		this.paceMillis = paceMillis;
	}

	/**
	 * Notes what is held now.
	 * @param bytes the bytes
	 * @param forOther whether they wait for the other side to take them, or to send the
	 * rest
	 * @param now the time in milliseconds
	 */
	public void holds(long bytes, boolean forOther, long now) {
		if (this.closed) {
			return;
		}
		boolean waitsNow = forOther && bytes > 0;
		if (waitsNow && !this.waits) {
			this.waitsSince = now;
			this.windowStart = now;
			this.moved = 0;
			this.movedBefore = 0;
		}
		this.waits = waitsNow;
		long change = bytes - this.held;
		this.held = bytes;
		this.budget.changed(change);
	}

	/**
	 * Notes that the other side took or sent bytes.
	 * @param bytes the bytes
	 * @param now the time in milliseconds
	 */
	public void moved(long bytes, long now) {
		turn(now);
		this.moved += bytes;
	}

	/**
	 * Says whether more may be read that would be held here.
	 * @return true if it may
	 */
	public boolean mayRead() {
		return this.budget.mayRead(this);
	}

	/**
	 * Returns the request that it holds for.
	 * @return the request's id
	 */
	public String id() {
		return this.id;
	}

	/**
	 * Returns what is held.
	 * @return the bytes
	 */
	public long held() {
		return this.held;
	}

	/**
	 * Returns how long what is held would take at the pace of the last moments.
	 * @param now the time in milliseconds
	 * @return the time in seconds, infinite if nothing moved
	 */
	public double secondsToEmpty(long now) {
		turn(now);
		double elapsed = now - this.windowStart;
		double before = this.movedBefore * Math.max(0, 1 - elapsed / this.paceMillis);
		return this.held / (this.moved + before) * this.paceMillis / MILLIS_PER_SECOND;
	}

	boolean waits() {
		return this.waits;
	}

	boolean judged(long now) {
		return now - this.waitsSince >= this.paceMillis;
	}

	private void turn(long now) {
		long windows = (now - this.windowStart) / this.paceMillis;
		if (windows > 0) {
			this.movedBefore = (windows == 1) ? this.moved : 0;
			this.moved = 0;
			this.windowStart += windows * this.paceMillis;
		}
	}

	/**
	 * Gives back all that is held.
	 */
	@Override
	public void close() {
		if (!this.closed) {
			this.closed = true;
			this.waits = false;
			this.budget.closed(this);
			this.held = 0;
		}
	}

}
