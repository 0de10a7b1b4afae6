package org.gullsaddle.serve;

/**
 * Reason why a request is to be sent to a replica once more.
 */
public enum RetryReason {

	/** The attempt failed, or the replica refused it. */
	FAILURE("failure"),

	/** The replica is silent, or another one would begin clearly sooner. */
	WAIT("wait"),

	/** The model's confidence in its answer is low, and a larger one is asked. */
	LOW_CONFIDENCE("low-confidence");

	private final String label;

	RetryReason(String label) {
		this.label = label;
	}

	/**
	 * Returns the label of this reason in logs and metrics.
	 * @return a short text
	 */
	public String label() {
		return this.label;
	}

}
