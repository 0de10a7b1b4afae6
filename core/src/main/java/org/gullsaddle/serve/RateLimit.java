package org.gullsaddle.serve;

/**
 * What an answer says of the requests a second that its replica takes from all nodes
 * together.
 */
public sealed interface RateLimit {

	/**
	 * The replica takes no more than so many.
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
	 * The replica names no limit, or none any more.
	 */
	record Unlimited() implements RateLimit {
	}

	/**
	 * The replica names a limit that cannot be read, so that what it said before holds.
	 */
	record Invalid() implements RateLimit {
	}

}
