package org.gullsaddle.route;

import java.util.random.RandomGenerator;

import org.gullsaddle.base.Refusal;
import org.gullsaddle.base.RefusalReason;

/**
 * Says when to come back, spread out, so that callers refused together do not return
 * together.
 */
final class RetryAfterJitter {

	private final RandomGenerator random;

	RetryAfterJitter(RandomGenerator random) {
		this.random = random;
	}

	Refusal notRun(RefusalReason reason, long millis) {
		return Refusal.notRun(reason, addJitter(millis));
	}

	long addJitter(long millis) {
		return millis + this.random.nextLong(millis);
	}

}
