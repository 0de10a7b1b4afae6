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

	private final Map<Key, DelayModel> models = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<Key, DelayModel> eldest) {
			return size() > MAX_KEYS;
		}
	};

	/**
	 * Returns what is known of a replica's delays in a task.
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
	 * A new release most likely runs as the one before it does.
	 */
	private DelayModel createModel(Key key, ReplicaTask task) {
		for (Map.Entry<Key, DelayModel> each : this.models.entrySet()) {
			if (each.getKey().service.equals(key.service) && each.getKey().model.equals(key.model)) {
				return each.getValue().asPrior();
			}
		}
		return task.isPlainCall() ? DelayModel.forCalls() : DelayModel.forGenerations(task.slowdown());
	}

	private record Key(ServiceName service, String model, String release) {
	}

}
