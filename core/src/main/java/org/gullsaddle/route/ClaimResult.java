package org.gullsaddle.route;

/**
 * What the claim on an idempotency key came to.
 */
public sealed interface ClaimResult {

	/**
	 * The key is this request's; it may be dispatched.
	 */
	record Granted() implements ClaimResult {
	}

	/**
	 * An earlier request has the key, and its end is not known.
	 */
	record InUse() implements ClaimResult {
	}

	/**
	 * An earlier request with the same content ended, and this was its answer.
	 *
	 * @param outcome the answer
	 */
	record Finished(CallOutcome outcome) implements ClaimResult {
	}

	/**
	 * An earlier request used the key for another content.
	 */
	record ContentDiffers() implements ClaimResult {
	}

	/**
	 * The store could not be asked, or did not answer in time.
	 */
	record Unavailable() implements ClaimResult {
	}

}
