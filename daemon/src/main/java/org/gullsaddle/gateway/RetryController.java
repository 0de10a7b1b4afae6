package org.gullsaddle.gateway;

import java.util.Set;
import java.util.function.IntSupplier;

import org.gullsaddle.fleet.ServiceName;
import org.gullsaddle.serve.RetryLimits;
import org.gullsaddle.serve.RetryReason;
import org.gullsaddle.serve.ServiceRetryBudgets;
import org.gullsaddle.telemetry.Telemetry;

/**
 * Decides whether a service's retry budget allows another attempt, and records each
 * decision.
 */
final class RetryController {

	private final ServiceRetryBudgets budgets;

	/** Returns the number of nodes, 0 while it is not known. */
	private final IntSupplier nodes;

	private final DecisionLog log;

	private final Telemetry telemetry;

	RetryController(RetryLimits limits, IntSupplier nodes, DecisionLog log, Telemetry telemetry) {
		this.budgets = new ServiceRetryBudgets(limits);
		this.nodes = nodes;
		this.log = log;
		this.telemetry = telemetry;
	}

	/**
	 * Adds what an admitted request earns for its service.
	 */
	void onAdmitted(ServedRequest request) {
		this.budgets.earn(MonotonicClock.millis(), request.service());
	}

	/**
	 * Takes a retry for a request out of its service's budget if there is one.
	 * @return whether the request may be sent once more
	 */
	boolean trySpend(ServedRequest request, RetryReason reason) {
		long now = MonotonicClock.millis();
		// Spare retries are for requests that fail: a poor answer still is one.
		int sharing = (reason == RetryReason.LOW_CONFIDENCE) ? 0 : this.nodes.getAsInt();
		boolean spent = this.budgets.trySpend(now, request.service(), sharing);
		String outcome = spent ? "spent" : "denied";
		this.telemetry.retry(request.service().value(), reason.label(), outcome);
		this.log.retry(request.id(), request.service(), reason, outcome,
				this.budgets.savedRetries(now, request.service()));
		return spent;
	}

	/**
	 * Returns the earned retries that may be spent now at all services.
	 */
	int savedRetries() {
		return this.budgets.savedRetries(MonotonicClock.millis());
	}

	/**
	 * Drops the budgets of services that are no longer configured.
	 */
	void retain(Set<ServiceName> services) {
		this.budgets.retain(services);
	}

}
