package org.gullsaddle.serve;

import org.gullsaddle.base.Check;

/**
 * What an answer says about how many requests its replica takes.
 *
 * @param limit the rate limit, in requests a second from all nodes together
 * @param backOffMillis how long the replica, which refused a request, wants no further
 * one from this node, in milliseconds, 0 if it does not say
 */
public record Backpressure(RateLimit limit, long backOffMillis) {

	/** An answer without a rate limit and a back-off. */
	public static final Backpressure NONE = new Backpressure(new RateLimit.Unlimited(), 0);

	public Backpressure {
		Check.that(backOffMillis >= 0, "backOffMillis must not be negative");
	}

	static Backpressure ofLimit(RateLimit limit) {
		return new Backpressure(limit, 0);
	}

}
