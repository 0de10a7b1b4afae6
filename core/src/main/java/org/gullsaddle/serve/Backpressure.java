package org.gullsaddle.serve;

/**
 * How a replica asks in an answer for fewer requests.
 *
 * @param limit the requests a second that it takes from all nodes together
 */
public record Backpressure(RateLimit limit) {

	/** That of an answer that asks for nothing. */
	public static final Backpressure NONE = new Backpressure(new RateLimit.None());

}
