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
public final class ReturnTimes {

	private final Map<ServiceName, ServiceReturns> services = new HashMap<>();

	private final RandomGenerator random;

	/**
	 * Makes return times.
	 * @param random draws where in its turn a caller returns
	 */
	public ReturnTimes(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Notes that a request came.
	 * @param now the time in milliseconds
	 * @param service its service
	 * @param rank its rank, 0 first
	 */
	public void opened(long now, ServiceName service, int rank) {
		of(service).flow(rank).opened(now);
	}

	/**
	 * Notes that a request is open no longer.
	 * @param now the time in milliseconds
	 * @param service its service
	 * @param rank its rank, 0 first
	 * @param ran whether it leaves room that it took
	 */
	public void closed(long now, ServiceName service, int rank, boolean ran) {
		of(service).flow(rank).closed(now, ran);
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
	public ReturnTime next(long now, Refused refused, long soonestMillis, TimeLeft left) {
		return of(refused.service()).next(now, refused, soonestMillis, left);
	}

	private ServiceReturns of(ServiceName service) {
		return this.services.computeIfAbsent(service, (missing) -> new ServiceReturns(this.random));
	}

}
