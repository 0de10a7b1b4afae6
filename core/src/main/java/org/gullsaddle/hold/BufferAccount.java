package org.gullsaddle.hold;

import org.gullsaddle.base.Check;

/**
 * The bytes buffered for one request in one direction. The total is reported each time
 * rather than the changes, so that dropped data is not counted forever.
 */
public final class BufferAccount implements AutoCloseable {

	private static final double MILLIS_PER_SECOND = 1000;

	private final BufferBudget budget;

	private final String id;

	private final long windowMillis;

	private long bufferedBytes;

	private boolean waiting;

	private long waitingSince;

	/** When the current window for counting transferred bytes began, in milliseconds. */
	private long windowStart;

	private long transferred;

	private long transferredBefore;

	private boolean closed;

	BufferAccount(BufferBudget budget, String id, long windowMillis) {
		Check.that(windowMillis > 0, "windowMillis must be positive");
		this.budget = budget;
		this.id = id;
		this.windowMillis = windowMillis;
	}

	/**
	 * Records how much is buffered now.
	 * @param bytes the total bytes
	 * @param forOther whether they wait for the other side to take them or to send the
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
	 * Records bytes that the other side took or sent.
	 * @param bytes the bytes transferred
	 * @param now the time in milliseconds
	 */
	public void recordTransferred(long bytes, long now) {
		advanceWindow(now);
		this.transferred += bytes;
	}

	/**
	 * Returns whether more data may be read into this buffer.
	 * @return true if reading may go on
	 */
	public boolean canRead() {
		return this.budget.canRead(this);
	}

	/**
	 * Returns the request whose data is buffered.
	 * @return the request's id
	 */
	public String id() {
		return this.id;
	}

	/**
	 * Returns how much is buffered.
	 * @return the bytes
	 */
	public long bufferedBytes() {
		return this.bufferedBytes;
	}

	/**
	 * Returns how long the buffered bytes would take at the recent transfer rate.
	 * @param now the time in milliseconds
	 * @return the time in seconds, infinite if nothing was transferred
	 */
	public double secondsToEmpty(long now) {
		advanceWindow(now);
		double elapsed = now - this.windowStart;
		double weightedBefore = this.transferredBefore * Math.max(0, 1 - elapsed / this.windowMillis);
		return this.bufferedBytes / (this.transferred + weightedBefore) * this.windowMillis / MILLIS_PER_SECOND;
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
	 * Releases all buffered bytes from the budget.
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
