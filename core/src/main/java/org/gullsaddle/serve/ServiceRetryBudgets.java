package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.gullsaddle.fleet.ServiceName;

/**
 * Retry budgets of a node by service: what the requests for one service earn cannot be
 * spent at another one.
 */
public final class ServiceRetryBudgets {

	private final RetryLimits limits;

	private final Map<ServiceName, RetryBudget> budgets = new HashMap<>();

	/**
	 * Creates budgets.
	 * @param limits what each of them allows
	 */
	public ServiceRetryBudgets(RetryLimits limits) {
		this.limits = limits;
	}

	/**
	 * Adds what a request earns, whatever becomes of it.
	 * @param now the time in milliseconds
	 * @param service the request's service
	 */
	public void earn(long now, ServiceName service) {
		budget(service).earn(now);
	}

	/**
	 * Takes a retry out of a service's budget if there is one.
	 * @param now the time in milliseconds
	 * @param service the service
	 * @param nodes the number of nodes, 0 if it is not known
	 * @return true if there was one
	 */
	public boolean trySpend(long now, ServiceName service, int nodes) {
		return budget(service).trySpend(now, nodes);
	}

	/**
	 * Returns the earned retries that may be spent now at a service.
	 * @param now the time in milliseconds
	 * @param service the service
	 * @return their number
	 */
	public int savedRetries(long now, ServiceName service) {
		return budget(service).savedRetries(now);
	}

	/**
	 * Returns the earned retries that may be spent now at all services.
	 * @param now the time in milliseconds
	 * @return their number
	 */
	public int savedRetries(long now) {
		return this.budgets.values().stream().mapToInt((budget) -> budget.savedRetries(now)).sum();
	}

	/**
	 * Drops the budgets of services that are no longer configured.
	 * @param services the services to keep
	 */
	public void retain(Set<ServiceName> services) {
		this.budgets.keySet().retainAll(services);
	}

	private RetryBudget budget(ServiceName service) {
		return this.budgets.computeIfAbsent(service, (missing) -> new RetryBudget(this.limits));
	}

}
