package org.gullsaddle.hold;

import org.gullsaddle.base.Check;

/**
 * What is held for one request in one direction. Tells the whole amount each time rather
 * than what came and went, so that a part that is dropped is not counted for ever.
 */
public final class BufferAccount implements AutoCloseable {

	private static final double MILLIS_PER_SECOND = 1000;

	private final BufferBudget budget;

	private final String id;

	private final long windowMillis;

	private long bufferedBytes;

	private boolean waiting;

	private long waitingSince;

	/** When the window began in which bytes that moved are counted. */
	private long windowStart;

	private long transferred;

	private long transferredBefore;

	private boolean closed;

	BufferAccount(BufferBudget budget, String id, long paceMillis) {
		Check.that(paceMillis > 0, "paceMillis must be positive");
		this.budget = budget;
		this.id = id;
		this.windowMillis = paceMillis;
	}

	/**
	 * Notes what is held now.
	 * @param bytes the bytes
	 * @param forOther whether they wait for the other side to take them, or to send the
	 * rest
	 * @param now the time in milliseconds
	 */
	public void recordBuffered(long bytes, boolean forOther, long now) {
		if (this.closed) {
			return;
		}
		boolean waitsNow = forOther && bytes > 0;
		if (waitsNow && !this.waiting) {
			this.waitingSince = now;
			this.windowStart = now;
			this.transferred = 0;
			this.transferredBefore = 0;
		}
		this.waiting = waitsNow;
		long change = bytes - this.bufferedBytes;
		this.bufferedBytes = bytes;
		this.budget.addBytes(change);
	}

	/**
	 * Notes that the other side took or sent bytes.
	 * @param bytes the bytes
	 * @param now the time in milliseconds
	 */
	public void recordTransferred(long bytes, long now) {
		advanceWindow(now);
		this.transferred += bytes;
	}

	/**
	 * Says whether more may be read that would be held here.
	 * @return true if it may
	 */
	public boolean canRead() {
		return this.budget.canRead(this);
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
	public long bufferedBytes() {
		return this.bufferedBytes;
	}

	/**
	 * Returns how long what is held would take at the pace of the last moments.
	 * @param now the time in milliseconds
	 * @return the time in seconds, infinite if nothing moved
	 */
	public double secondsToEmpty(long now) {
		advanceWindow(now);
		double elapsed = now - this.windowStart;
		double before = this.transferredBefore * Math.max(0, 1 - elapsed / this.windowMillis);
		return this.bufferedBytes / (this.transferred + before) * this.windowMillis / MILLIS_PER_SECOND;
	}

	boolean isWaiting() {
		return this.waiting;
	}

	boolean isRateKnown(long now) {
		return now - this.waitingSince >= this.windowMillis;
	}

	private void advanceWindow(long now) {
		long windows = (now - this.windowStart) / this.windowMillis;
		if (windows > 0) {
			this.transferredBefore = (windows == 1) ? this.transferred : 0;
			this.transferred = 0;
			this.windowStart += windows * this.windowMillis;
		}
	}

	/**
	 * Gives back all that is held.
	 */
	@Override
	public void close() {
		if (!this.closed) {
			this.closed = true;
			this.waiting = false;
			this.budget.removeAccount(this);
			this.bufferedBytes = 0;
		}
	}

}
