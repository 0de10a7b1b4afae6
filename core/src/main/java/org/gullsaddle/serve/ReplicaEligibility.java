package org.gullsaddle.serve;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.gullsaddle.fleet.ColdStart;
import org.gullsaddle.fleet.RegionLimit;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaDirectory;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.ServiceName;
import org.gullsaddle.suspect.CrashTracker;
import org.gullsaddle.suspect.Trait;

/**
 * Decides which replicas a request may be sent to at all, before they are compared: those
 * that accept new work, are in an allowed region, run the request's release and are
 * within the rate limits that they report. Cold replicas are used only if no warm one is
 * left, and only up to their cold-start limit. A request that may crash replicas is sent
 * to none. Confined to one thread.
 */
public final class ReplicaEligibility {

	private final ReplicaDirectory directory;

	private final NodeLocation location;

	private final ColdReplicaLimiter coldLimiter;

	private final BackpressureTable backpressure;

	private final CrashTracker crashes;

	/**
	 * Creates the rules of a node.
	 * @param directory the replicas
	 * @param location the node's location
	 * @param coldLimiter limits what the node sends to cold replicas
	 * @param backpressure limits what it sends to replicas that ask for fewer requests
	 * @param crashes the traits that are blocked because they crash replicas
	 */
	public ReplicaEligibility(ReplicaDirectory directory, NodeLocation location, ColdReplicaLimiter coldLimiter,
			BackpressureTable backpressure, CrashTracker crashes) {
		this.directory = directory;
		this.location = location;
		this.coldLimiter = coldLimiter;
		this.backpressure = backpressure;
		this.crashes = crashes;
	}

	/**
	 * Returns whether a request must not be sent to any replica because it may crash it.
	 * @param required what the request requires of replicas
	 * @return true if one of its traits is blocked
	 */
	public boolean isBlocked(Requirements required) {
		return this.crashes.isBlocked(required.traits());
	}

	/**
	 * Returns the replicas that a request must not be sent to now: those that were tried
	 * already, and those that asked for fewer requests.
	 * @param now the time in milliseconds
	 * @param required what the request requires of replicas
	 * @param tried replicas that it was sent to already
	 * @return their ids
	 */
	public Set<ReplicaId> excludedReplicas(long now, Requirements required, Set<ReplicaId> tried) {
		if (!this.backpressure.hasBackpressure(now)) {
			return tried;
		}
		Set<ReplicaId> all = new HashSet<>(tried);
		openReplicas(now, required).stream()
			.filter((replica) -> !this.backpressure.canSend(now, replica))
			.forEach((replica) -> all.add(replica.id()));
		return all;
	}

	/**
	 * Returns the replicas that a request is routed among. Prompt caches are placed by
	 * this whole set, so it includes replicas that are excluded only for the moment.
	 * @param now the time in milliseconds
	 * @param required what the request requires of replicas
	 * @param excluded replicas that it must not be sent to, see {@link #excludedReplicas}
	 * @return the replicas
	 */
	public List<Replica> eligibleReplicas(long now, Requirements required, Set<ReplicaId> excluded) {
		List<Replica> open = openReplicas(now, required);
		List<Replica> warm = open.stream().filter((replica) -> !isCold(now, required, replica)).toList();
		List<Replica> allowed = filterByRelease(now, required, warm, excluded);
		if (!areAllExcluded(allowed, excluded)) {
			return allowed;
		}
		List<Replica> warmOrColdWithCapacity = open.stream()
			.filter((replica) -> !isCold(now, required, replica) || hasColdCapacity(now, required, replica))
			.toList();
		return filterByRelease(now, required, warmOrColdWithCapacity, excluded);
	}

	/**
	 * Returns why there is no replica, or no further replica, for a request.
	 * @param now the time in milliseconds
	 * @param required what the request requires of replicas
	 * @return the reason
	 */
	public NoReplica noReplicaReason(long now, Requirements required) {
		if (isBlocked(required)) {
			return NoReplica.CRASHES;
		}
		List<Replica> open = openReplicas(now, required);
		if (!open.isEmpty()) {
			return noReplicaReasonAmong(now, required, open);
		}
		if (this.directory.evacuatedDataCenters()
			.stream()
			.anyMatch((each) -> required.regionLimit().allows(this.location.regionOf(each)))) {
			return NoReplica.EVACUATED;
		}
		boolean inOtherRegion = !this.directory.usableReplicas(now, required.service(), (dataCenter) -> true).isEmpty();
		return inOtherRegion ? NoReplica.OTHER_REGION : NoReplica.NONE;
	}

	private NoReplica noReplicaReasonAmong(long now, Requirements required, List<Replica> open) {
		if (open.stream().allMatch((replica) -> isCold(now, required, replica))) {
			return NoReplica.COLD;
		}
		Set<ReplicaId> excluded = excludedReplicas(now, required, Set.of());
		List<Replica> allowed = filterByRelease(now, required, open, excluded);
		if (allowed.isEmpty() || !areAllExcluded(allowed, excluded)) {
			return NoReplica.TRIED;
		}
		boolean allBackingOff = allowed.stream()
			.allMatch((replica) -> this.backpressure.backOffMillis(now, replica) > 0);
		return allBackingOff ? NoReplica.RESTING : NoReplica.LIMITED;
	}

	/**
	 * Returns when a caller may retry if all replicas are rate limited or ask for
	 * back-off, or if the request is blocked.
	 * @param now the time in milliseconds
	 * @param required what the request requires of replicas
	 * @return the time from now, in milliseconds
	 */
	public long retryAfterMillis(long now, Requirements required) {
		if (isBlocked(required)) {
			return this.crashes.retryAfterMillis(now, required.traits());
		}
		return this.backpressure.nextRetryAfterMillis(now, required.service(), openReplicas(now, required));
	}

	/**
	 * Counts a request that was sent, if the replica is cold.
	 * @param now the time in milliseconds
	 * @param required what the request requires of replicas
	 * @param replica the replica it was sent to
	 */
	public void onSent(long now, Requirements required, Replica replica) {
		if (isCold(now, required, replica)) {
			this.coldLimiter.onSent(now, replica);
		}
	}

	/**
	 * Returns whether a replica is limited by its cold start.
	 * @param now the time in milliseconds
	 * @param required what a request requires of replicas
	 * @param replica the replica
	 * @return true if it is cold, and its service limits requests to cold replicas
	 */
	public boolean isCold(long now, Requirements required, Replica replica) {
		return required.coldStart().isLimited() && this.directory.coldMillis(now, replica.id()) > 0;
	}

	/**
	 * Returns whether any replica open to a request is limited by its cold start.
	 * @param now the time in milliseconds
	 * @param required what the request requires of replicas
	 * @return true if one is cold, and its service limits requests to cold replicas
	 */
	public boolean hasColdReplica(long now, Requirements required) {
		return openReplicas(now, required).stream().anyMatch((replica) -> isCold(now, required, replica));
	}

	private boolean hasColdCapacity(long now, Requirements required, Replica replica) {
		return required.nodeCount().isPresent() && this.coldLimiter.canSend(now, replica,
				required.coldStart().requestsPerSecond(), required.nodeCount().get());
	}

	private List<Replica> openReplicas(long now, Requirements required) {
		if (isBlocked(required)) {
			return List.of();
		}
		return this.directory.usableReplicas(now, required.service(),
				(dataCenter) -> required.regionLimit().allows(this.location.regionOf(dataCenter)));
	}

	/**
	 * Returns the replicas of the request's release. During a roll-out the previous
	 * release is known to work, so a request for the new release falls back to it while
	 * the new replicas ask for fewer requests, unless it belongs to a session. The
	 * reverse would expose more callers to the new release.
	 */
	private List<Replica> filterByRelease(long now, Requirements required, List<Replica> candidates,
			Set<ReplicaId> excluded) {
		if (required.rollout().isEmpty()) {
			return candidates;
		}
		List<Replica> allowed = required.rollout()
			.get()
			.chooseReplicas(now, candidates, required.releaseKey(), excluded, required.nodeCount().orElse(0));
		boolean anyLimited = allowed.stream().anyMatch((replica) -> !this.backpressure.canSend(now, replica));
		if (!anyLimited || !areAllExcluded(allowed, excluded) || required.releaseKey().session()) {
			return allowed;
		}
		List<Replica> previous = required.rollout().get().oldReplicas(candidates);
		return previous.isEmpty() ? allowed : previous;
	}

	private static boolean areAllExcluded(List<Replica> replicas, Set<ReplicaId> excluded) {
		return excluded.containsAll(replicas.stream().map(Replica::id).toList());
	}

	/**
	 * What a request requires of replicas.
	 *
	 * @param service the service
	 * @param regionLimit the regions that it may be served in
	 * @param coldStart the limit of cold replicas of the service
	 * @param nodeCount how many nodes share that limit, or empty if that is not known
	 * @param rollout the roll-out of the service, if there is one
	 * @param releaseKey the key that keeps the request on one release
	 * @param traits its traits that may be blocked for crashes
	 */
	public record Requirements(ServiceName service, RegionLimit regionLimit, ColdStart coldStart,
			Optional<Integer> nodeCount, Optional<Rollout> rollout, ReleaseKey releaseKey, Collection<Trait> traits) {
	}

	/**
	 * Why a request has no replica.
	 */
	public enum NoReplica {

		/** Requests with a part or the content of this one have crashed replicas. */
		CRASHES("crashes its replicas"),

		/** No replica is known. */
		NONE("no replica"),

		/**
		 * All open replicas were tried, or run a release that the request may not use.
		 */
		TRIED("no replica left"),

		/** All open replicas are cold and have reached their cold-start limits. */
		COLD("all replicas are cold"),

		/**
		 * All open replicas report rate limits, and this node's share of them is used up.
		 */
		LIMITED("all replicas are at their rate limits"),

		/** All open replicas have asked this node to back off. */
		RESTING("all replicas ask for rest"),

		/** All replicas are in data centers that are being emptied. */
		EVACUATED("data centers are being emptied"),

		/** All replicas are in regions that are not allowed. */
		OTHER_REGION("no replica in an allowed region");

		private final String reason;

		NoReplica(String reason) {
			this.reason = reason;
		}

		/**
		 * Returns the reason as it is reported to callers.
		 * @return the reason as text
		 */
		public String reason() {
			return this.reason;
		}

	}

}
