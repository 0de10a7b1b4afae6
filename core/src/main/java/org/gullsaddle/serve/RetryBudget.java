package org.gullsaddle.serve;

/**
 * Limits retries to a ratio of the requests.
 * <p>
 * Without a limit, when many backend servers fail at once, every request is sent several
 * times, and the retries overload the remaining servers: latency rises, more requests
 * time out, and the load grows further. Retries that must be earned by first attempts
 * keep the extra work within the ratio, whatever fails. As each node keeps within its own
 * ratio, all nodes together do, without exchanging anything.
 */
public final class RetryBudget {

	private static final double MAX_SAVED_RETRIES = 20;

	private final double retriesPerRequest;

	private double savedRetries = MAX_SAVED_RETRIES / 4;

	/**
	 * Creates a budget.
	 * @param retriesPerRequest the retries that each request earns
	 */
	public RetryBudget(double retriesPerRequest) {
		this.retriesPerRequest = retriesPerRequest;
	}

	/**
	 * Adds what a request's first attempt earns.
	 */
	public void earn() {
		this.savedRetries = Math.min(MAX_SAVED_RETRIES, this.savedRetries + this.retriesPerRequest);
	}

	/**
	 * Takes a retry out of the budget if there is one.
	 * @return true if there was one
	 */
	public boolean trySpend() {
		if (this.savedRetries < 1) {
			return false;
		}
		this.savedRetries--;
		return true;
	}

	/**
	 * Returns the retries that may be spent now.
	 * @return their number, without the fraction that is saved
	 */
	public int savedRetries() {
		return (int) this.savedRetries;
	}

}
