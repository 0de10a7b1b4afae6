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

	private static final double MAX_SAVED_RETRIES = 20;

	private final double retriesPerRequest;

	private double savedRetries = MAX_SAVED_RETRIES / 4;

	/**
	 * Makes a budget.
	 * @param share the retries that each request earns
	 */
	public RetryBudget(double share) {
		this.retriesPerRequest = share;
	}

	/**
	 * Notes a request's first attempt.
	 */
	public void earn() {
		this.savedRetries = Math.min(MAX_SAVED_RETRIES, this.savedRetries + this.retriesPerRequest);
	}

	/**
	 * Takes a retry out of the budget.
	 * @return true if there was one
	 */
	public boolean trySpend() {
		if (this.savedRetries < 1) {
			return false;
		}
		this.savedRetries--;
		return true;
	}

}
