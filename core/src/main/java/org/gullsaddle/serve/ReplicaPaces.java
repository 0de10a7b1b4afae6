package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.gullsaddle.fleet.ServiceName;

/**
 * The paces of replicas. A service counts from when one of its replicas tells a pace;
 * before, all of them are usual and nothing is learned. Confined to one thread.
 */
final class ReplicaPaces {

	private final Map<ServiceName, PeerPace> services = new HashMap<>();

	void told(long now, ReplicaState state, int percent) {
		PeerPace peers = this.services.computeIfAbsent(state.replica().service(), (service) -> new PeerPace());
		state.slowdown().told(now, percent, peers);
	}

	Slowdown at(long now, ReplicaState state, double millis) {
		PeerPace peers = this.services.get(state.replica().service());
		return (peers != null) ? state.slowdown().at(now, millis, peers) : Slowdown.NONE;
	}

	/**
	 * Learns how long an answer took to begin, or that it had not begun by then, which
	 * says something only if it was expected to.
	 */
	void took(ReplicaState state, ReplicaChoice choice, double millis, boolean begun) {
		PeerPace peers = this.services.get(state.replica().service());
		if (peers != null && (begun || millis > choice.delay().expectedMillis())) {
			state.slowdown().took(choice, millis, peers);
		}
	}

	void retain(Set<ServiceName> known) {
		this.services.keySet().retainAll(known);
	}

}
