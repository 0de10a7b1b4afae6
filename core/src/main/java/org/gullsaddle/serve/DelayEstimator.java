package org.gullsaddle.serve;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalDouble;

import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ServiceName;

/**
 * Estimates when the first event of an answer comes, from earlier answers of the same
 * service, model and release. Confined to one thread.
 * <p>
 * Engines differ more than tenfold in how fast they read, and no setting states it. A
 * router with one engine's figures for all either keeps the small model's answers for
 * fear of waits that never come, or queues for seconds where it expects no wait.
 */
final class DelayEstimator {

	/** How many combinations of service, model and release are kept. */
	private static final int MAX_KEYS = 128;

	private final Map<Key, DelayModel> models = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Key, DelayModel> eldest) {
			return size() > MAX_KEYS;
		}
	};

	/**
	 * Returns the delay model of a replica for a task.
	 */
	DelayModel modelFor(Replica replica, ReplicaTask task) {
		Key key = new Key(replica.service(), task.model(), replica.release());
		DelayModel known = this.models.get(key);
		if (known == null) {
			known = createModel(key, task);
			this.models.put(key, known);
		}
		return known;
	}

	/**
	 * Creates a model. A new release is expected to behave as the one before it.
	 */
	private DelayModel createModel(Key key, ReplicaTask task) {
		for (Map.Entry<Key, DelayModel> each : this.models.entrySet()) {
			if (each.getKey().service.equals(key.service) && each.getKey().model.equals(key.model)) {
				return each.getValue().asPrior();
			}
		}
		return task.isPlainCall() ? DelayModel.forCalls() : DelayModel.forGenerations(task.slowdown());
	}

	/**
	 * Estimates the delay of a first event with any release but one, by the model that
	 * was used last.
	 * @param excluded the release that is left out
	 */
	OptionalDouble expectedMillisWithout(String excluded, ServiceName service, String model, EngineLoad load) {
		OptionalDouble expected = OptionalDouble.empty();
		for (Map.Entry<Key, DelayModel> each : this.models.entrySet()) {
			Key key = each.getKey();
			if (key.service.equals(service) && key.model.equals(model) && !key.release.equals(excluded)) {
				expected = OptionalDouble.of(each.getValue().estimate(load).expectedMillis());
			}
		}
		return expected;
	}

	private record Key(ServiceName service, String model, String release) {
	}

}
