package org.gullsaddle.route;

/**
 * The result of claiming an idempotency key.
 */
public sealed interface ClaimResult {

	/**
	 * The request holds the key and may be sent to an agent.
	 */
	record Granted() implements ClaimResult {
	}

	/**
	 * An earlier request holds the key, and its outcome is not known.
	 */
	record InUse() implements ClaimResult {
	}

	/**
	 * An earlier request with the same content was answered.
	 *
	 * @param outcome its answer
	 */
	record Finished(CallOutcome outcome) implements ClaimResult {
	}

	/**
	 * An earlier request used the key with different content.
	 */
	record ContentDiffers() implements ClaimResult {
	}

	/**
	 * The store was unavailable or did not answer in time.
	 */
	record Unavailable() implements ClaimResult {
	}

}
