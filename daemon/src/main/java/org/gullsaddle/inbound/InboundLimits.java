package org.gullsaddle.inbound;

import org.gullsaddle.base.Check;

/**
 * What a client may send, and how long it may take.
 *
 * @param headBytes largest size of the header lines of a request, and of its first line,
 * in bytes
 * @param headMillis longest time from the first byte of a head to its last, in
 * milliseconds
 * @param idleMillis longest time for which nothing is transferred while the client's turn
 * is due, in milliseconds
 */
public record InboundLimits(int headBytes, long headMillis, long idleMillis) {

	/**
	 * Limits that hold until a configuration is known.
	 */
	public static final InboundLimits DEFAULTS = new InboundLimits(65_536, 10_000, 75_000);

	public InboundLimits {
		Check.that(headBytes > 0, "headBytes must be positive");
		Check.that(headMillis > 0, "headMillis must be positive");
		Check.that(idleMillis > 0, "idleMillis must be positive");
	}

}
