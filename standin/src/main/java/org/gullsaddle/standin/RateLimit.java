package org.gullsaddle.standin;

/**
 * A token bucket that holds one second's worth.
 */
final class RateLimit {

	private static final double NANOS = 1e9;

	private final int perSecond;

	private double tokens;

	private long refilledAt = System.nanoTime();

	RateLimit(int perSecond) {
		this.perSecond = perSecond;
		this.tokens = perSecond;
	}

	boolean take() {
		long now = System.nanoTime();
		this.tokens = Math.min(this.perSecond, this.tokens + (now - this.refilledAt) / NANOS * this.perSecond);
		this.refilledAt = now;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
