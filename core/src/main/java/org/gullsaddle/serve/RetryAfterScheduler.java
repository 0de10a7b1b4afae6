package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.gullsaddle.fleet.ServiceName;

/**
 * Tells refused callers when to come back, as fast as requests of their service and rank
 * really end at this node. Confined to one thread.
 * <p>
 * Callers return at other nodes, so that none of them knows who was told what. Each node
 * spreads those that it refuses by its own rate; together they return at the rate of all.
 */
public final class RetryAfterScheduler {

	private final Map<ServiceName, ServiceRetrySchedule> services = new HashMap<>();

	private final RandomGenerator random;

	/**
	 * Makes return times.
	 * @param random draws where in its turn a caller returns
	 */
	public RetryAfterScheduler(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Notes that a request came.
	 * @param now the time in milliseconds
	 * @param service its service
	 * @param rank its rank, 0 first
	 */
	public void onRequestOpened(long now, ServiceName service, int rank) {
		scheduleOf(service).flow(rank).onRequestOpened(now);
	}

	/**
	 * Notes that a request is open no longer.
	 * @param now the time in milliseconds
	 * @param service its service
	 * @param rank its rank, 0 first
	 * @param ran whether it leaves room that it took
	 */
	public void onRequestClosed(long now, ServiceName service, int rank, boolean ran) {
		scheduleOf(service).flow(rank).onRequestClosed(now, ran);
	}

	/**
	 * Returns when a refused caller is to come back.
	 * @param now the time in milliseconds
	 * @param refused its request
	 * @param soonestMillis the soonest that it may be told, spread already, in
	 * milliseconds
	 * @param left the time that it has left
	 * @return the time, without hope if no room is expected while it is useful
	 */
	public RetryAfter schedule(long now, RefusedRequest refused, long soonestMillis, RemainingTime left) {
		return scheduleOf(refused.service()).schedule(now, refused, soonestMillis, left);
	}

	private ServiceRetrySchedule scheduleOf(ServiceName service) {
		return this.services.computeIfAbsent(service, (missing) -> new ServiceRetrySchedule(this.random));
	}

}
