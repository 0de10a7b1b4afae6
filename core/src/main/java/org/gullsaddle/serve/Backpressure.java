package org.gullsaddle.serve;

import org.gullsaddle.base.Check;

/**
 * How a replica asks in an answer for fewer requests.
 *
 * @param limit the requests a second that it takes from all nodes together
 * @param backOffMillis for how long it wants no request from this node, as it turned one
 * away, in milliseconds, 0 if it does not say
 */
public record Backpressure(RateLimit limit, long backOffMillis) {

	/** That of an answer that asks for nothing. */
	public static final Backpressure NONE = new Backpressure(new RateLimit.Unlimited(), 0);

	public Backpressure {
		Check.that(backOffMillis >= 0, "restMillis must not be negative");
	}

	static Backpressure ofLimit(RateLimit limit) {
		return new Backpressure(limit, 0);
	}

}
