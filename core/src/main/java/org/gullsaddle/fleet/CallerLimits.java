package org.gullsaddle.fleet;

import org.gullsaddle.base.Check;

/**
 * Limits on what callers may send and how long they may take.
 *
 * @param headerBytes the largest size of a request's headers, in bytes
 * @param bodyBytes the largest size of a request's body, in bytes
 * @param headerMillis the longest time from the first byte of a request's headers to the
 * last, in milliseconds
 * @param idleMillis the longest time for which a connection may be idle, in milliseconds
 */
public record CallerLimits(int headerBytes, long bodyBytes, long headerMillis, long idleMillis) {

	public CallerLimits {
		Check.that(headerBytes > 0, "headerBytes must be positive");
		Check.that(bodyBytes >= 0, "bodyBytes must not be negative");
		Check.that(headerMillis > 0, "headerMillis must be positive");
		Check.that(idleMillis > 0, "idleMillis must be positive");
	}
}
