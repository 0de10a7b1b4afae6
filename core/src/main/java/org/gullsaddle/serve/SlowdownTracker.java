package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.gullsaddle.fleet.ServiceName;

/**
 * The paces of replicas. A service counts from when one of its replicas tells a pace;
 * before, all of them are usual and nothing is learned. Confined to one thread.
 */
final class SlowdownTracker {

	private final Map<ServiceName, ServiceSlowdownTracker> services = new HashMap<>();

	void onReported(long now, ReplicaState state, int percent) {
		ServiceSlowdownTracker peers = this.services.computeIfAbsent(state.replica().service(),
				(service) -> new ServiceSlowdownTracker());
		state.slowdown().reported(now, percent, peers);
	}

	Slowdown estimate(long now, ReplicaState state, double millis) {
		ServiceSlowdownTracker peers = this.services.get(state.replica().service());
		return (peers != null) ? state.slowdown().estimate(now, millis, peers) : Slowdown.NONE;
	}

	/**
	 * Learns how long an answer took to begin, or that it had not begun by then, which
	 * says something only if it was expected to.
	 */
	void recordAnswerDelay(ReplicaState state, ReplicaChoice choice, double millis, boolean begun) {
		ServiceSlowdownTracker peers = this.services.get(state.replica().service());
		if (peers != null && (begun || millis > choice.delay().expectedMillis())) {
			state.slowdown().recordAnswerDelay(choice, millis, peers);
		}
	}

	void retain(Set<ServiceName> known) {
		this.services.keySet().retainAll(known);
	}

}
