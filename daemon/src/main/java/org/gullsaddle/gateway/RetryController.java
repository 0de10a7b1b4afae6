package org.gullsaddle.gateway;

import org.gullsaddle.serve.RetryBudget;
import org.gullsaddle.serve.RetryReason;
import org.gullsaddle.telemetry.Telemetry;

/**
 * Decides whether the retry budget allows another attempt, and records each decision.
 */
final class RetryController {

	private final RetryBudget budget;

	private final DecisionLog log;

	private final Telemetry telemetry;

	RetryController(double retryBudgetRatio, DecisionLog log, Telemetry telemetry) {
		this.budget = new RetryBudget(retryBudgetRatio);
		this.log = log;
		this.telemetry = telemetry;
	}

	/**
	 * Adds what an admitted request earns.
	 */
	void onAdmitted() {
		this.budget.earn();
	}

	/**
	 * Takes a retry for a request out of the budget if there is one.
	 * @return whether the request may be sent once more
	 */
	boolean trySpend(ServedRequest request, RetryReason reason) {
		boolean spent = this.budget.trySpend();
		String outcome = spent ? "spent" : "denied";
		this.telemetry.retry(request.service().value(), reason.label(), outcome);
		this.log.retry(request.id(), request.service(), reason, outcome, savedRetries());
		return spent;
	}

	/**
	 * Returns the retries that may be spent now.
	 */
	int savedRetries() {
		return this.budget.savedRetries();
	}

}
