package org.gullsaddle.serve;

import org.gullsaddle.base.Check;

/**
 * What a retry budget allows.
 *
 * @param earnedPerRequest retries that each request earns, 0 to 1
 * @param lifetimeMillis how long an earned retry may be saved, in milliseconds
 * @param initial retries, or a part of one, that the first request finds
 */
public record RetryLimits(double earnedPerRequest, long lifetimeMillis, double initial) {

	/**
	 * How long a retry may be saved, relative to the window in which retries are counted.
	 * The longer, the more of them outlast the gaps between requests, and the less each
	 * request can earn.
	 */
	private static final double LIFETIME_RATIO = 0.5;

	public RetryLimits {
		Check.that(earnedPerRequest >= 0 && earnedPerRequest <= 1, "a request earns 0 to 1 retries");
		Check.that(lifetimeMillis > 0, "a retry must be saved for some time");
		Check.that(initial >= 0, "initial retries must not be negative");
	}

	/**
	 * Returns limits by which all nodes together keep to a ratio: as many retries as the
	 * requests of the window and of the lifetime before it have earned may be spent
	 * within one window. The first request of a node earns a whole retry.
	 * @param ratio the most retries for each request of a window
	 * @param windowMillis the window, in milliseconds
	 * @return the limits
	 */
	public static RetryLimits within(double ratio, long windowMillis) {
		double earned = Math.min(1, ratio / (1 + LIFETIME_RATIO));
		return new RetryLimits(earned, Math.max(1, Math.round(LIFETIME_RATIO * windowMillis)), 1 - earned);
	}

	/**
	 * Returns the same limits with another start.
	 * @param retries the retries that the first request finds
	 * @return the limits
	 */
	public RetryLimits startingWith(double retries) {
		return new RetryLimits(this.earnedPerRequest, this.lifetimeMillis, retries);
	}

}
