package org.gullsaddle.serve;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.gullsaddle.fleet.ReplicaId;

/**
 * The mean load that other nodes put on replicas, separately for those that are dedicated
 * to a task's model size and those that are not.
 *
 * @param nonDedicatedIds the replicas that are dedicated to the other size
 * @param dedicatedMean the mean load of the dedicated replicas
 * @param nonDedicatedMean the mean load of the other replicas
 */
record PeerLoad(Set<ReplicaId> nonDedicatedIds, MeanLoad dedicatedMean, MeanLoad nonDedicatedMean) {

	static PeerLoad of(long now, List<ReplicaState> states, Set<ReplicaId> nonDedicatedIds) {
		Map<Boolean, List<ReplicaState>> byDedication = states.stream()
			.collect(Collectors.partitioningBy((state) -> nonDedicatedIds.contains(state.replica().id())));
		return new PeerLoad(nonDedicatedIds, MeanLoad.of(now, byDedication.get(false)),
				MeanLoad.of(now, byDedication.get(true)));
	}

	boolean isDedicated(ReplicaState state) {
		return !this.nonDedicatedIds.contains(state.replica().id());
	}

	MeanLoad meanFor(ReplicaState state) {
		return isDedicated(state) ? this.dedicatedMean : this.nonDedicatedMean;
	}

	/**
	 * How many requests of other nodes a replica has on average, and how many of them it
	 * has yet to read.
	 */
	record MeanLoad(double requests, double unreadRequests) {

		static MeanLoad of(long now, List<ReplicaState> states) {
			return new MeanLoad(ReportedLoad.mean(now, states.stream().map(ReplicaState::peerRequests).toList()),
					ReportedLoad.mean(now, states.stream().map(ReplicaState::peerUnreadRequests).toList()));
		}

	}

}
