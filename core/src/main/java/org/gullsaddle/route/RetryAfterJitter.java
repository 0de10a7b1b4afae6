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
	 * Returns a refusal of a request that was not run, to be retried after the given time
	 * to twice that time.
	 */
	Refusal notRun(RefusalReason reason, long millis) {
		return Refusal.notRun(reason, addJitter(millis));
	}

	long addJitter(long millis) {
		return millis + this.random.nextLong(millis);
	}

}
