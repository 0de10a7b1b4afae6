package org.gullsaddle.route;

import java.util.random.RandomGenerator;

import org.gullsaddle.base.Refusal;
import org.gullsaddle.base.RefusalReason;

/**
 * Says when to come back, spread out, so that callers refused together do not return
 * together.
 */
final class ComeBack {

	private final RandomGenerator random;

	ComeBack(RandomGenerator random) {
		this.random = random;
	}

	Refusal later(RefusalReason reason, long millis) {
		return Refusal.notRun(reason, after(millis));
	}

	long after(long millis) {
		return millis + this.random.nextLong(millis);
	}

}
