package org.gullsaddle.serve;

import org.gullsaddle.base.Check;

/**
 * A replica's rate limit, as written for the peers by a node that got it in an answer.
 *
 * @param startedAt when the replica started, in Unix milliseconds, 0 if not reported
 * @param limited whether it has a limit
 * @param perSecond the requests a second that it takes from all nodes together, 0 without
 * a limit
 */
public record LimitNote(long startedAt, boolean limited, double perSecond) {

	/**
	 * Checks that the limit is one.
	 */
	public LimitNote {
		Check.that(Double.isFinite(perSecond) && perSecond >= 0, "perSecond must be 0 or more");
	}

	RateLimit toRateLimit() {
		return this.limited ? new RateLimit.Limited(this.perSecond) : new RateLimit.Unlimited();
	}

}
