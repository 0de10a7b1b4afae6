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
 * Which replicas a request may go to at all, whatever it would lose there: those that
 * take new work, in a region that is allowed, of the release that is its own, and within
 * the rate that they ask for. Cold ones come last, and only as many requests go there as
 * they bear. What crashes replicas may go to none. Confined to one thread.
 */
public final class ReplicaRules {

	private final ReplicaDirectory directory;

	private final Place place;

	private final ColdPace pace;

	private final BackpressureBook backpressure;

	private final CrashTracker crashes;

	/**
	 * Makes the rules of a node.
	 * @param directory the replicas
	 * @param place where the node is
	 * @param pace what the node may send to cold replicas
	 * @param backpressure what it may send to replicas that ask for fewer requests
	 * @param crashes what is refused as it crashes replicas
	 */
	public ReplicaRules(ReplicaDirectory directory, Place place, ColdPace pace, BackpressureBook backpressure,
			CrashTracker crashes) {
		this.directory = directory;
		this.place = place;
		this.pace = pace;
		this.backpressure = backpressure;
		this.crashes = crashes;
	}

	/**
	 * Says whether a request may go to no replica, as it would crash it.
	 * @param wanted what the request asks of replicas
	 * @return true if one of its traits is refused
	 */
	public boolean refuses(Wanted wanted) {
		return this.crashes.isBlocked(wanted.traits());
	}

	/**
	 * Returns the replicas that a request may not be sent to now: those that it was sent
	 * to already, and those that have asked for fewer requests.
	 * @param now the time in milliseconds
	 * @param wanted what the request asks of replicas
	 * @param tried replicas that it was sent to already
	 * @return their ids
	 */
	public Set<ReplicaId> leftOut(long now, Wanted wanted, Set<ReplicaId> tried) {
		if (!this.backpressure.any(now)) {
			return tried;
		}
		Set<ReplicaId> all = new HashSet<>(tried);
		open(now, wanted).stream()
			.filter((replica) -> !this.backpressure.takes(now, replica))
			.forEach((replica) -> all.add(replica.id()));
		return all;
	}

	/**
	 * Returns the replicas that a request belongs to now. What is kept where is decided
	 * among all of them, so those that are left out for a moment are among them too.
	 * @param now the time in milliseconds
	 * @param wanted what the request asks of them
	 * @param leftOut replicas that it may not be sent to, see {@link #leftOut}
	 * @return the replicas
	 */
	public List<Replica> usable(long now, Wanted wanted, Set<ReplicaId> leftOut) {
		List<Replica> open = open(now, wanted);
		List<Replica> warm = open.stream().filter((replica) -> !cold(now, wanted, replica)).toList();
		List<Replica> allowed = ofRelease(now, wanted, warm, leftOut);
		if (!allLeftOut(allowed, leftOut)) {
			return allowed;
		}
		List<Replica> bearing = open.stream()
			.filter((replica) -> !cold(now, wanted, replica) || room(now, wanted, replica))
			.toList();
		return ofRelease(now, wanted, bearing, leftOut);
	}

	/**
	 * Says why there is no replica for a request, or no other one.
	 * @param now the time in milliseconds
	 * @param wanted what the request asked of them
	 * @return the reason
	 */
	public NoReplica whyNone(long now, Wanted wanted) {
		if (refuses(wanted)) {
			return NoReplica.CRASHES;
		}
		List<Replica> open = open(now, wanted);
		if (!open.isEmpty()) {
			return whyNoneOf(now, wanted, open);
		}
		if (this.directory.evacuatedDataCenters()
			.stream()
			.anyMatch((each) -> wanted.limit().allows(this.place.region(each)))) {
			return NoReplica.EVACUATED;
		}
		boolean elsewhere = !this.directory.usableReplicas(now, wanted.service(), (dataCenter) -> true).isEmpty();
		return elsewhere ? NoReplica.OTHER_REGION : NoReplica.NONE;
	}

	private NoReplica whyNoneOf(long now, Wanted wanted, List<Replica> open) {
		if (open.stream().allMatch((replica) -> cold(now, wanted, replica))) {
			return NoReplica.COLD;
		}
		Set<ReplicaId> leftOut = leftOut(now, wanted, Set.of());
		List<Replica> allowed = ofRelease(now, wanted, open, leftOut);
		if (!allLeftOut(allowed, leftOut)) {
			return NoReplica.TRIED;
		}
		boolean resting = allowed.stream().allMatch((replica) -> this.backpressure.restMillis(now, replica) > 0);
		return resting ? NoReplica.RESTING : NoReplica.LIMITED;
	}

	/**
	 * Returns when a caller is to come back for whom all replicas are limited or resting,
	 * or whose request is refused for crashes.
	 * @param now the time in milliseconds
	 * @param wanted what the request asked of them
	 * @return the time from now, in milliseconds
	 */
	public long backMillis(long now, Wanted wanted) {
		if (refuses(wanted)) {
			return this.crashes.retryAfterMillis(now, wanted.traits());
		}
		return this.backpressure.backMillis(now, wanted.service(), open(now, wanted));
	}

	/**
	 * Notes that a request was sent.
	 * @param now the time in milliseconds
	 * @param wanted what it asked of replicas
	 * @param replica where it was sent
	 */
	public void sent(long now, Wanted wanted, Replica replica) {
		if (cold(now, wanted, replica)) {
			this.pace.sent(now, replica);
		}
	}

	/**
	 * Says whether a replica is to be spared.
	 * @param now the time in milliseconds
	 * @param wanted what a request asks of it
	 * @param replica the replica
	 * @return true if it is cold, and bears less than a warm one
	 */
	public boolean cold(long now, Wanted wanted, Replica replica) {
		return wanted.coldStart().isLimited() && this.directory.coldMillis(now, replica.id()) > 0;
	}

	/**
	 * Says whether any replica that a request belongs to is to be spared.
	 * @param now the time in milliseconds
	 * @param wanted what the request asks of them
	 * @return true if one is cold, and bears less than a warm one
	 */
	public boolean anyCold(long now, Wanted wanted) {
		return open(now, wanted).stream().anyMatch((replica) -> cold(now, wanted, replica));
	}

	private boolean room(long now, Wanted wanted, Replica replica) {
		return wanted.nodes().isPresent()
				&& this.pace.room(now, replica, wanted.coldStart().requestsPerSecond(), wanted.nodes().get());
	}

	private List<Replica> open(long now, Wanted wanted) {
		if (refuses(wanted)) {
			return List.of();
		}
		return this.directory.usableReplicas(now, wanted.service(),
				(dataCenter) -> wanted.limit().allows(this.place.region(dataCenter)));
	}

	/**
	 * Of a roll-out's releases the old one is known to be sound: a request for a new one
	 * whose replicas ask for fewer goes there, unless it belongs to a session. More
	 * requests for a new one would expose more callers to it.
	 */
	private List<Replica> ofRelease(long now, Wanted wanted, List<Replica> able, Set<ReplicaId> leftOut) {
		if (wanted.rollout().isEmpty()) {
			return able;
		}
		List<Replica> allowed = wanted.rollout()
			.get()
			.allowed(now, able, wanted.key(), leftOut, wanted.nodes().orElse(0));
		boolean asked = allowed.stream().anyMatch((replica) -> !this.backpressure.takes(now, replica));
		if (!asked || !allLeftOut(allowed, leftOut) || wanted.key().session()) {
			return allowed;
		}
		List<Replica> former = wanted.rollout().get().former(able);
		return former.isEmpty() ? allowed : former;
	}

	private static boolean allLeftOut(List<Replica> replicas, Set<ReplicaId> leftOut) {
		return leftOut.containsAll(replicas.stream().map(Replica::id).toList());
	}

	/**
	 * What a request asks of replicas.
	 *
	 * @param service the service
	 * @param limit the regions that it may be served in
	 * @param coldStart what cold replicas of the service bear
	 * @param nodes how many nodes share that, or empty if that is not known
	 * @param rollout the roll-out of the service, if there is one
	 * @param key what it keeps its release by
	 * @param traits what it has in common with others, as far as it is refused for it
	 */
	public record Wanted(ServiceName service, RegionLimit limit, ColdStart coldStart, Optional<Integer> nodes,
			Optional<Rollout> rollout, ReleaseKey key, Collection<Trait> traits) {
	}

	/**
	 * Why there is no replica.
	 */
	public enum NoReplica {

		/** Requests with a part or the content of this one have crashed replicas. */
		CRASHES("crashes its replicas"),

		/** None is known. */
		NONE("no replica"),

		/** All that are open were tried, or are of a release that it may not go to. */
		TRIED("no replica left"),

		/** All that are open are cold, and get as much as they bear. */
		COLD("all replicas are cold"),

		/** All that are open name rate limits, and this node's parts of them are used. */
		LIMITED("all replicas are at their rate limits"),

		/** All that are open have asked this node for rest. */
		RESTING("all replicas ask for rest"),

		/** All are in data centers that are to be emptied. */
		EVACUATED("data centers are being emptied"),

		/** All are in regions that are not allowed. */
		OTHER_REGION("no replica in an allowed region");

		private final String reason;

		NoReplica(String reason) {
			this.reason = reason;
		}

		/**
		 * Returns the reason as callers are told.
		 * @return some words
		 */
		public String reason() {
			return this.reason;
		}

	}

}
