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
 * @param nonDedicatedIds the replicas that the task is not at home on
 * @param dedicatedMean what those have that it is at home on
 * @param nonDedicatedMean what the others have
 */
record PeerLoad(Set<ReplicaId> nonDedicatedIds, MeanLoad dedicatedMean, MeanLoad nonDedicatedMean) {

	static PeerLoad of(long now, List<ReplicaState> states, Set<ReplicaId> away) {
		Map<Boolean, List<ReplicaState>> parts = states.stream()
			.collect(Collectors.partitioningBy((state) -> away.contains(state.replica().id())));
		return new PeerLoad(away, MeanLoad.of(now, parts.get(false)), MeanLoad.of(now, parts.get(true)));
	}

	boolean isDedicated(ReplicaState state) {
		return !this.nonDedicatedIds.contains(state.replica().id());
	}

	MeanLoad meanFor(ReplicaState state) {
		return isDedicated(state) ? this.dedicatedMean : this.nonDedicatedMean;
	}

	/**
	 * How many requests of other nodes a replica has on the mean, and how many of them
	 * are still to be read.
	 */
	record MeanLoad(double requests, double unreadRequests) {

		static MeanLoad of(long now, List<ReplicaState> states) {
			return new MeanLoad(ReportedLoad.mean(now, states.stream().map(ReplicaState::peerRequests).toList()),
					ReportedLoad.mean(now, states.stream().map(ReplicaState::peerUnreadRequests).toList()));
		}

	}

}
