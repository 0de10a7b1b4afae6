package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.gullsaddle.fleet.ServiceName;

/**
 * Schedules when refused callers may come back, at the rate at which requests of their
 * service and rank end at this node. Confined to one thread.
 * <p>
 * Callers may come back to other nodes, and no node knows the times that its peers gave.
 * Each node spreads the callers that it refuses by its own rate; together they come back
 * at the rate of all nodes.
 */
public final class RetryAfterScheduler {

	private final Map<ServiceName, ServiceRetrySchedule> services = new HashMap<>();

	private final RandomGenerator random;

	/**
	 * Creates an empty scheduler.
	 * @param random draws when a caller comes back within its reservation
	 */
	public RetryAfterScheduler(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Handles the arrival of a request.
	 * @param now the time in milliseconds
	 * @param service its service
	 * @param rank its rank, 0 is the most urgent
	 */
	public void onRequestOpened(long now, ServiceName service, int rank) {
		scheduleOf(service).flow(rank).onRequestOpened(now);
	}

	/**
	 * Handles the end of a request.
	 * @param now the time in milliseconds
	 * @param service its service
	 * @param rank its rank, 0 is the most urgent
	 * @param ran whether it ran, so that its end frees capacity
	 */
	public void onRequestClosed(long now, ServiceName service, int rank, boolean ran) {
		scheduleOf(service).flow(rank).onRequestClosed(now, ran);
	}

	/**
	 * Returns when a refused caller may come back, and reserves capacity for it.
	 * @param now the time in milliseconds
	 * @param refused its request
	 * @param earliestMillis the shortest time allowed, already spread over callers, in
	 * milliseconds
	 * @param remaining the time that the request has left
	 * @return the time, and whether capacity is expected while it is still useful
	 */
	public RetryAfter schedule(long now, RefusedRequest refused, long earliestMillis, RemainingTime remaining) {
		return scheduleOf(refused.service()).schedule(now, refused, earliestMillis, remaining);
	}

	/**
	 * Drops the services that are no longer configured.
	 * @param known the services to keep
	 */
	public void retain(Set<ServiceName> known) {
		this.services.keySet().retainAll(known);
	}

	private ServiceRetrySchedule scheduleOf(ServiceName service) {
		return this.services.computeIfAbsent(service, (missing) -> new ServiceRetrySchedule(this.random));
	}

}
