package org.gullsaddle.serve;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.DoubleUnaryOperator;
import java.util.function.IntUnaryOperator;

import org.gullsaddle.fleet.ServiceName;

/**
 * Nodes, each with a budget of its own, whose requests are sent once more where an
 * attempt fails or an answer is too poor. Counts requests and retries of all nodes
 * together.
 */
final class RetryBudgetModel {

	/** Retries for each request of a window that are allowed in all. */
	static final double RATIO = 0.9;

	/** Retries that are allowed beyond the ratio, over all nodes. */
	static final int SLACK = 102;

	/** The window in which they are counted, in milliseconds. */
	static final int WINDOW_MILLIS = 10_000;

	/** Length of a step, in milliseconds. */
	private static final int STEP_MILLIS = 100;

	private static final int MAX_ATTEMPTS = 3;

	private final List<ServiceRetryBudgets> nodes = new ArrayList<>();

	private final List<Service> services = new ArrayList<>();

	/** Maps a time in milliseconds to the number of nodes that start anew. */
	private IntUnaryOperator restarts = (millis) -> 0;

	/**
	 * When requests move from the lower half of the nodes to the upper one; 0 if never.
	 */
	private int moveAtMillis;

	private final Random random;

	RetryBudgetModel(int nodes, long seed) {
		this.random = new Random(seed);
		for (int i = 0; i < nodes; i++) {
			this.nodes.add(newBudgets());
		}
	}

	private static ServiceRetryBudgets newBudgets() {
		return new ServiceRetryBudgets(RetryLimits.within(RATIO, WINDOW_MILLIS).withSlack(SLACK));
	}

	/**
	 * Adds a service.
	 * @param perSecond requests of all nodes, by the time in seconds
	 * @param failing share of attempts that fail, by the time in seconds
	 * @param poor share of answers that are too poor
	 */
	Service service(String name, DoubleUnaryOperator perSecond, DoubleUnaryOperator failing, double poor) {
		Service service = new Service(new ServiceName(name), perSecond, failing, poor);
		this.services.add(service);
		return service;
	}

	void restart(IntUnaryOperator newRestarts) {
		this.restarts = newRestarts;
	}

	/**
	 * Has the upper half of the nodes get all requests from a time on, the lower half
	 * before.
	 */
	void moveRequests(int atMillis) {
		this.moveAtMillis = atMillis;
	}

	void play(int seconds) {
		for (int now = 0; now < seconds * 1000; now += STEP_MILLIS) {
			for (int i = this.restarts.applyAsInt(now); i > 0; i--) {
				this.nodes.set(this.random.nextInt(this.nodes.size()), newBudgets());
			}
			for (Service service : this.services) {
				step(now, service);
			}
		}
	}

	private void step(int now, Service service) {
		List<Sent> due = service.ending.remove(now);
		if (due != null) {
			due.forEach((sent) -> end(now, service, sent));
		}
		double mean = service.perSecond.applyAsDouble(now / 1000.0) * STEP_MILLIS / 1000;
		// A binomial number of requests with this mean.
		int tries = (int) Math.ceil(2 * mean);
		for (int i = 0; i < tries; i++) {
			if (this.random.nextDouble() < mean / tries) {
				int node = pickNode(now);
				service.requests.merge(now, 1, Integer::sum);
				this.nodes.get(node).earn(now, service.name);
				send(now, service, new Sent(node, 1));
			}
		}
	}

	private int pickNode(int now) {
		if (this.moveAtMillis == 0) {
			return this.random.nextInt(this.nodes.size());
		}
		int half = this.nodes.size() / 2;
		return ((now < this.moveAtMillis) ? 0 : half) + this.random.nextInt(half);
	}

	private void send(int now, Service service, Sent sent) {
		int end = now + STEP_MILLIS * (1 + this.random.nextInt(8));
		service.ending.computeIfAbsent(end, (missing) -> new ArrayList<>()).add(sent);
	}

	private void end(int now, Service service, Sent sent) {
		double again = Math.max(service.failing.applyAsDouble(now / 1000.0), (sent.attempt == 1) ? service.poor : 0);
		if (sent.attempt < MAX_ATTEMPTS && this.random.nextDouble() < again
				&& this.nodes.get(sent.node).trySpend(now, service.name, this.nodes.size())) {
			service.retries.merge(now, 1, Integer::sum);
			send(now, service, new Sent(sent.node, sent.attempt + 1));
		}
	}

	/**
	 * An attempt.
	 */
	private record Sent(int node, int attempt) {
	}

	/**
	 * A service and what was counted of it, by the time of the step.
	 */
	static final class Service {

		private final ServiceName name;

		private final DoubleUnaryOperator perSecond;

		private final DoubleUnaryOperator failing;

		private final double poor;

		private final Map<Integer, List<Sent>> ending = new HashMap<>();

		private final TreeMap<Integer, Integer> requests = new TreeMap<>();

		private final TreeMap<Integer, Integer> retries = new TreeMap<>();

		private Service(ServiceName name, DoubleUnaryOperator perSecond, DoubleUnaryOperator failing, double poor) {
			this.name = name;
			this.perSecond = perSecond;
			this.failing = failing;
			this.poor = poor;
		}

		/**
		 * Returns the most retries of a window beyond the ratio of its requests, or of
		 * those of the window one or half a window before, whichever has most.
		 */
		double mostBeyondRatio() {
			double most = 0;
			for (int from = 0; from <= this.requests.lastKey(); from += STEP_MILLIS) {
				int counted = Math.max(sum(this.requests, from), Math.max(sum(this.requests, from - WINDOW_MILLIS / 2),
						sum(this.requests, from - WINDOW_MILLIS)));
				most = Math.max(most, sum(this.retries, from) - RATIO * counted);
			}
			return most;
		}

		/**
		 * Returns all retries for each request.
		 */
		double retriesPerRequest() {
			return total(this.retries) / (double) total(this.requests);
		}

		private static int sum(TreeMap<Integer, Integer> counts, int from) {
			return total(counts.subMap(from, from + WINDOW_MILLIS));
		}

		private static int total(Map<Integer, Integer> counts) {
			return counts.values().stream().mapToInt(Integer::intValue).sum();
		}

	}

}
