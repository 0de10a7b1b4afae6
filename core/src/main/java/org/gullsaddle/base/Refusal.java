package org.gullsaddle.base;

/**
 * The final answer to a request that was not served.
 *
 * @param reason why
 * @param verdict whether the request may have run
 * @param retryAfterMillis when the caller may retry, in milliseconds from now, or 0 if a
 * retry does not help
 */
public record Refusal(RefusalReason reason, Verdict verdict, long retryAfterMillis) {

	public Refusal {
		Check.notNull(reason, "reason");
		Check.notNull(verdict, "verdict");
		Check.that(retryAfterMillis >= 0, "retryAfterMillis must not be negative");
	}

	/**
	 * Returns a refusal of a request that was not run.
	 * @param reason why
	 * @param retryAfterMillis when the caller may retry, in milliseconds from now, or 0
	 * @return the refusal
	 */
	public static Refusal notRun(RefusalReason reason, long retryAfterMillis) {
		return new Refusal(reason, Verdict.NOT_RUN, retryAfterMillis);
	}

}
