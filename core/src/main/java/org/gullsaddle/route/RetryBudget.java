package org.gullsaddle.route;

/**
 * Lets retries be only a share of requests.
 * <p>
 * When many backend servers fail at once, every request would be sent several times, and
 * the servers left would drown in the repeats: latency climbs, more time out, and the
 * load feeds itself. Retries that must be earned by first attempts keep the extra work
 * within the share, whatever fails.
 */
final class RetryBudget {

	private static final double MAX_SAVED = 20;

	private final double share;

	private double saved = MAX_SAVED / 4;

	RetryBudget(double share) {
		this.share = share;
	}

	void earn() {
		this.saved = Math.min(MAX_SAVED, this.saved + this.share);
	}

	boolean spend() {
		if (this.saved < 1) {
			return false;
		}
		this.saved--;
		return true;
	}

}
