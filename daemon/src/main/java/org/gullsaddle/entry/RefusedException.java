package org.gullsaddle.entry;

import org.gullsaddle.base.Refusal;
import org.gullsaddle.base.RefusalReason;

/**
 * Thrown when a filter refuses a request, which then is not run.
 */
class RefusedException extends Exception {

	private final transient Refusal refusal;

	RefusedException(Refusal refusal, String message) {
		super(message);
		this.refusal = refusal;
	}

	RefusedException(RefusalReason reason, String message) {
		this(Refusal.notRun(reason, 0), message);
	}

	Refusal refusal() {
		return this.refusal;
	}

}
