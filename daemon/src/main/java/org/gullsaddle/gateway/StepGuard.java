package org.gullsaddle.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

import org.gullsaddle.telemetry.Telemetry;

/**
 * Runs steps of which none may keep the others from running: a loop whose turn fails must
 * set its next turn, and one change that cannot be applied must not hide the next. A
 * failure is logged and counted. Confined to the event loop.
 */
final class StepGuard {

	/**
	 * Shortest interval between log lines on the same step, in milliseconds: a step that
	 * always fails may run many times a second.
	 */
	private static final long LOG_INTERVAL_MILLIS = 1000;

	private final DecisionLog log;

	private final Telemetry telemetry;

	private final Map<String, Long> loggedAt = new HashMap<>();

	StepGuard(DecisionLog log, Telemetry telemetry) {
		this.log = log;
		this.telemetry = telemetry;
	}

	/**
	 * Runs a step.
	 * @param step its name in the log, one of a few
	 * @return false if it failed
	 */
	boolean run(String step, Runnable action) {
		return call(step, () -> {
			action.run();
			return true;
		}, false);
	}

	/**
	 * Runs a step with a result.
	 * @param step its name in the log, one of a few
	 * @param fallback the result if the step fails
	 */
	<T> T call(String step, Supplier<T> action, T fallback) {
		try {
			return action.get();
		}
		catch (RuntimeException ex) {
			onFailure(step, ex);
			return fallback;
		}
	}

	/**
	 * Handles a failure that was caught elsewhere.
	 */
	void onFailure(String step, Throwable failure) {
		this.telemetry.count("steps.failed");
		long now = MonotonicClock.millis();
		Long before = this.loggedAt.get(step);
		if (before == null || now - before >= LOG_INTERVAL_MILLIS) {
			this.loggedAt.put(step, now);
			this.log.stepFailed(step, failure);
		}
	}

}
