package org.gullsaddle.serve;

/**
 * Lets retries be only a share of requests.
 * <p>
 * When many backend servers fail at once, every request would be sent several times, and
 * the servers left would drown in the repeats: latency climbs, more time out, and the
 * load feeds itself. Retries that must be earned by first attempts keep the extra work
 * within the share, whatever fails. As each node keeps within its own share, all together
 * do, without telling each other.
 */
public final class RetryBudget {

	private static final double MAX_SAVED = 20;

	private final double share;

	private double saved = MAX_SAVED / 4;

	/**
	 * Makes a budget.
	 * @param share the retries that each request earns
	 */
	public RetryBudget(double share) {
		this.share = share;
	}

	/**
	 * Notes a request's first attempt.
	 */
	public void earn() {
		this.saved = Math.min(MAX_SAVED, this.saved + this.share);
	}

	/**
	 * Takes a retry out of the budget.
	 * @return true if there was one
	 */
	public boolean spend() {
		if (this.saved < 1) {
			return false;
		}
		this.saved--;
		return true;
	}

}
