package org.gullsaddle.serve;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.gullsaddle.fleet.ReplicaId;

/**
 * What a replica usually has of other nodes' requests: where a task is at home, and
 * elsewhere.
 *
 * @param away the replicas that the task is not at home on
 * @param atHome what those have that it is at home on
 * @param elsewhere what the others have
 */
record Others(Set<ReplicaId> away, Usual atHome, Usual elsewhere) {

	static Others of(long now, List<ReplicaState> states, Set<ReplicaId> away) {
		Map<Boolean, List<ReplicaState>> parts = states.stream()
			.collect(Collectors.partitioningBy((state) -> away.contains(state.replica().id())));
		return new Others(away, Usual.of(now, parts.get(false)), Usual.of(now, parts.get(true)));
	}

	boolean home(ReplicaState state) {
		return !this.away.contains(state.replica().id());
	}

	Usual at(ReplicaState state) {
		return home(state) ? this.atHome : this.elsewhere;
	}

	/**
	 * How many requests of other nodes a replica has on the mean, and how many of them
	 * are still to be read.
	 */
	record Usual(double requests, double unread) {

		static Usual of(long now, List<ReplicaState> states) {
			return new Usual(ReportedLoad.mean(now, states.stream().map(ReplicaState::peerRequests).toList()),
					ReportedLoad.mean(now, states.stream().map(ReplicaState::peerUnreadRequests).toList()));
		}

	}

}
