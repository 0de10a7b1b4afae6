package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.gullsaddle.fleet.ServiceName;

/**
 * Tracks the slowdowns of replicas by service. A service is tracked once one of its
 * replicas has reported a slowdown; before, all its replicas have none, and nothing is
 * learned. Confined to one thread.
 */
final class SlowdownTracker {

	private final Map<ServiceName, ServiceSlowdownTracker> services = new HashMap<>();

	void onReported(long now, ReplicaState state, int percent) {
		ServiceSlowdownTracker tracker = this.services.computeIfAbsent(state.replica().service(),
				(service) -> new ServiceSlowdownTracker());
		state.slowdown().onReported(now, percent, tracker);
	}

	Slowdown estimate(long now, ReplicaState state, double millis) {
		ServiceSlowdownTracker tracker = this.services.get(state.replica().service());
		return (tracker != null) ? state.slowdown().estimate(now, millis, tracker) : Slowdown.NONE;
	}

	/**
	 * Records how long an answer took to begin, or that it had not begun by then, which
	 * is informative only if it was overdue.
	 */
	void recordAnswerDelay(ReplicaState state, ReplicaChoice choice, double millis, boolean begun) {
		ServiceSlowdownTracker tracker = this.services.get(state.replica().service());
		if (tracker != null && (begun || millis > choice.delay().expectedMillis())) {
			state.slowdown().recordAnswerDelay(choice, millis, tracker);
		}
	}

	void retain(Set<ServiceName> known) {
		this.services.keySet().retainAll(known);
	}

}
