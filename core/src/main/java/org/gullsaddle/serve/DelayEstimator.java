package org.gullsaddle.serve;

import java.util.LinkedHashMap;
import java.util.Map;

import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ServiceName;

/**
 * Tells when the first event of an answer comes, by what was seen of the same service,
 * model and release. Confined to one thread.
 * <p>
 * Engines differ by more than ten times in how fast they read, and no settings tell. A
 * router that takes one engine's figures for another's keeps the small model's answers
 * for fear of waits that never come, or queues for seconds where it expects none.
 */
final class DelayEstimator {

	/** How many services, models and releases are remembered. */
	private static final int MAX_KEYS = 128;

	private static final double TOKENS = 1000;

	/**
	 * What is expected before anything was seen: a connection's time, the reading of
	 * 1,000 tokens by the smallest model, the same for prompts before it, one more
	 * request in the batch, and the way to another region and back, in milliseconds.
	 */
	private static final double[] PRIOR = { 10, 8, 8, 3, 90 };

	/** The standard deviations of the same. */
	private static final double[] PRIOR_DEVIATIONS = { 20, 8, 8, 5, 60 };

	/**
	 * The same for a call to a plain service: its work, nothing to read, the work of all
	 * slots before it, one more request, and the way to another region and back.
	 */
	private static final double[] CALL_PRIOR = { 40, 0, 60, 1, 90 };

	private static final double[] CALL_PRIOR_DEVIATIONS = { 40, 1, 60, 3, 60 };

	private static final int READING = 1;

	/** The noise of a delay: a part of a step, and a share of the whole. */
	private static final double NOISE_MILLIS = 15;

	private static final double NOISE_SHARE = 0.3;

	private final Map<Key, OnlineRegression> learned = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Key, OnlineRegression> eldest) {
			return size() > MAX_KEYS;
		}
	};

	/**
	 * Returns how long the first event takes.
	 */
	Delay first(Replica replica, Task task, EngineLoad load) {
		OnlineRegression relation = relation(replica, task);
		double[] features = features(task, load);
		double expected = relation.expected(features);
		return new Delay(expected, relation.deviation(features, noise(expected)));
	}

	/**
	 * Returns how long the replica takes to read tokens, in milliseconds.
	 */
	double readMillis(Replica replica, Task task, int tokens) {
		return relation(replica, task).coefficient(READING) * tokens / TOKENS;
	}

	/**
	 * Learns how long a first event took.
	 */
	void seen(Replica replica, Task task, EngineLoad load, double millis) {
		OnlineRegression relation = relation(replica, task);
		double[] features = features(task, load);
		relation.learn(features, millis, noise(relation.expected(features)));
	}

	/**
	 * Learns that a first event had not come yet when the request was given up, which
	 * says something only if it was expected by then.
	 */
	void notSeen(Replica replica, Task task, EngineLoad load, double millis) {
		if (millis > relation(replica, task).expected(features(task, load))) {
			seen(replica, task, load, millis);
		}
	}

	private OnlineRegression relation(Replica replica, Task task) {
		Key key = new Key(replica.service(), task.model(), replica.release());
		OnlineRegression known = this.learned.get(key);
		if (known == null) {
			known = prior(key, task);
			this.learned.put(key, known);
		}
		return known;
	}

	/**
	 * A new release most likely runs as the one before it does.
	 */
	private OnlineRegression prior(Key key, Task task) {
		for (Map.Entry<Key, OnlineRegression> each : this.learned.entrySet()) {
			if (each.getKey().service.equals(key.service) && each.getKey().model.equals(key.model)) {
				return each.getValue().asPrior();
			}
		}
		if (task.plain()) {
			return new OnlineRegression(CALL_PRIOR, CALL_PRIOR_DEVIATIONS);
		}
		double[] prior = PRIOR.clone();
		double[] deviations = PRIOR_DEVIATIONS.clone();
		prior[READING] *= task.pace();
		deviations[READING] *= task.pace();
		return new OnlineRegression(prior, deviations);
	}

	private static double[] features(Task task, EngineLoad load) {
		double backlog = task.plain() ? load.backlog() : load.backlog() / TOKENS;
		return new double[] { 1, load.unreadTokens() / TOKENS, backlog, load.requests(), load.otherRegion() ? 1 : 0 };
	}

	private static double noise(double expected) {
		return NOISE_MILLIS + NOISE_SHARE * expected;
	}

	private record Key(ServiceName service, String model, String release) {
	}

}
