package org.gullsaddle.serve;

/**
 * What a node that heard it from a replica itself tells the others of its rate limit.
 *
 * @param startedAt the Unix millisecond of the replica's start, 0 if not told
 * @param limited whether it names a limit
 * @param perSecond the requests a second that it takes from all nodes, 0 without a limit
 */
public record LimitNote(long startedAt, boolean limited, double perSecond) {

	RateLimit toRateLimit() {
		return this.limited ? new RateLimit.Limited(this.perSecond) : new RateLimit.Unlimited();
	}

}
