package org.gullsaddle.serve;

/**
 * What an answer says about its replica's rate limit, in requests a second from all nodes
 * together.
 */
public sealed interface RateLimit {

	/**
	 * The replica has a limit.
	 *
	 * @param perSecond the requests a second, 0 or more
	 */
	record Limited(double perSecond) implements RateLimit {

		public Limited {
			if (!(perSecond >= 0) || Double.isInfinite(perSecond)) {
				throw new IllegalArgumentException("perSecond must be 0 or more, not " + perSecond);
			}
		}

	}

	/**
	 * The replica has no limit, or no longer has one.
	 */
	record Unlimited() implements RateLimit {
	}

	/**
	 * The value cannot be parsed; the previous limit stays in force.
	 */
	record Invalid() implements RateLimit {
	}

}
