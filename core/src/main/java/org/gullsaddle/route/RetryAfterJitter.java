package org.gullsaddle.route;

import java.util.random.RandomGenerator;

import org.gullsaddle.base.Refusal;
import org.gullsaddle.base.RefusalReason;

/**
 * Adds jitter to the times after which refused callers may retry, so that callers refused
 * together do not return together.
 */
final class RetryAfterJitter {

	private final RandomGenerator random;

	RetryAfterJitter(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Returns a refusal of a request that was not run, with a retry time of the given
	 * length to twice that.
	 */
	Refusal notRun(RefusalReason reason, long millis) {
		return Refusal.notRun(reason, addJitter(millis));
	}

	long addJitter(long millis) {
		return millis + this.random.nextLong(millis);
	}

}
