package org.gullsaddle.serve;

import org.gullsaddle.base.Check;

/**
 * What a retry budget allows.
 *
 * @param ratio the most retries for each request of a window, over all nodes
 * @param windowMillis the window in which retries are counted, in milliseconds
 * @param slack retries of a window that are allowed beyond the ratio, over all nodes
 * @param initial retries that the first request finds
 */
public record RetryLimits(double ratio, long windowMillis, double slack, double initial) {

	/**
	 * How long a retry may be saved, relative to the window. The longer, the more retries
	 * outlast the gaps between requests, and the less each request can earn.
	 */
	private static final double LIFETIME_RATIO = 0.25;

	/**
	 * How much of the slack is used. The rest bears the parts of retries that nodes find
	 * at their start, and requests that come in bursts.
	 */
	private static final double SLACK_RATIO = 0.5;

	public RetryLimits {
		Check.that(ratio >= 0, "the ratio of retries must not be negative");
		Check.that(windowMillis > 0, "the window in which retries are counted must not be empty");
		Check.that(slack >= 0, "the slack of retries must not be negative");
		Check.that(initial >= 0, "initial retries must not be negative");
	}

	/**
	 * Returns limits without slack. The first request of a node earns a whole retry.
	 * @param ratio the most retries for each request of a window, over all nodes
	 * @param windowMillis the window, in milliseconds
	 * @return the limits
	 */
	public static RetryLimits within(double ratio, long windowMillis) {
		return new RetryLimits(ratio, windowMillis, 0, (ratio > 0) ? 1 - earned(ratio) : 0);
	}

	/**
	 * Returns the same limits with a slack.
	 * @param retries retries of a window that are allowed beyond the ratio, over all
	 * nodes
	 * @return the limits
	 */
	public RetryLimits withSlack(double retries) {
		return new RetryLimits(this.ratio, this.windowMillis, retries, this.initial);
	}

	/**
	 * Returns the same limits with another start.
	 * @param retries the retries that the first request finds
	 * @return the limits
	 */
	public RetryLimits startingWith(double retries) {
		return new RetryLimits(this.ratio, this.windowMillis, this.slack, retries);
	}

	/**
	 * Returns how long an earned retry may be saved.
	 * @return the time in milliseconds
	 */
	long lifetimeMillis() {
		return Math.max(1, Math.round(LIFETIME_RATIO * this.windowMillis));
	}

	/**
	 * Returns what each request earns. What may be spent within one window was earned
	 * within it or within the lifetime before it.
	 * @return the retries, 0 to 1
	 */
	double earnedPerRequest() {
		return earned(this.ratio);
	}

	private static double earned(double ratio) {
		return Math.min(1, ratio / (1 + LIFETIME_RATIO));
	}

	/**
	 * Returns a node's share of the slack.
	 * @param nodes the number of nodes, 0 if it is not known
	 * @return the retries of a window that a node may spend without having earned them
	 */
	int spareRetries(int nodes) {
		return (nodes == 0) ? 0 : (int) (SLACK_RATIO * this.slack / nodes);
	}

}
