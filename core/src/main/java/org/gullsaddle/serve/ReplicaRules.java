package org.gullsaddle.serve;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.gullsaddle.fleet.ColdStart;
import org.gullsaddle.fleet.RegionLimit;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaDirectory;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.ServiceName;

/**
 * Which replicas a request may go to at all, whatever it would lose there: those that
 * take new work, in a region that is allowed, of the release that is its own, and within
 * the rate that they ask for. Cold ones come last, and only as many requests go there as
 * they bear. Confined to one thread.
 */
public final class ReplicaRules {

	private final ReplicaDirectory directory;

	private final Place place;

	private final ColdPace pace;

	private final BackpressureBook backpressure;

	/**
	 * Makes the rules of a node.
	 * @param directory the replicas
	 * @param place where the node is
	 * @param pace what the node may send to cold replicas
	 * @param backpressure what it may send to replicas that ask for fewer requests
	 */
	public ReplicaRules(ReplicaDirectory directory, Place place, ColdPace pace, BackpressureBook backpressure) {
		this.directory = directory;
		this.place = place;
		this.pace = pace;
		this.backpressure = backpressure;
	}

	/**
	 * Returns the replicas that a request may go to now.
	 * @param now the time in milliseconds
	 * @param wanted what the request asks of them
	 * @param without replicas that it was sent to already
	 * @return the replicas, some of which may be among those left out
	 */
	public List<Replica> usable(long now, Wanted wanted, Set<ReplicaId> without) {
		List<Replica> open = open(now, wanted);
		List<Replica> warm = allowed(now, wanted, open, (replica) -> !cold(now, wanted, replica));
		if (!without.containsAll(warm.stream().map(Replica::id).toList())) {
			return warm;
		}
		return allowed(now, wanted, open, (replica) -> !cold(now, wanted, replica) || room(now, wanted, replica));
	}

	/**
	 * Says why there is no replica for a request, or no other one.
	 * @param now the time in milliseconds
	 * @param wanted what the request asked of them
	 * @return the reason
	 */
	public NoReplica whyNone(long now, Wanted wanted) {
		List<Replica> open = open(now, wanted);
		if (!open.isEmpty()) {
			return whyNoneOf(now, wanted, open);
		}
		if (this.directory.evacuated().stream().anyMatch((each) -> wanted.limit().allows(this.place.region(each)))) {
			return NoReplica.EVACUATED;
		}
		boolean elsewhere = !this.directory.usable(now, wanted.service(), (dataCenter) -> true).isEmpty();
		return elsewhere ? NoReplica.OTHER_REGION : NoReplica.NONE;
	}

	private NoReplica whyNoneOf(long now, Wanted wanted, List<Replica> open) {
		if (open.stream().allMatch((replica) -> cold(now, wanted, replica))) {
			return NoReplica.COLD;
		}
		List<Replica> allowed = ofRelease(now, wanted, open);
		if (!taking(now, allowed).isEmpty()) {
			return NoReplica.TRIED;
		}
		boolean resting = allowed.stream().allMatch((replica) -> this.backpressure.restMillis(now, replica) > 0);
		return resting ? NoReplica.RESTING : NoReplica.LIMITED;
	}

	/**
	 * Returns when a caller is to come back for whom all replicas are limited or resting.
	 * @param now the time in milliseconds
	 * @param wanted what the request asked of them
	 * @return the time from now, in milliseconds
	 */
	public long backMillis(long now, Wanted wanted) {
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
		return wanted.coldStart().limited() && this.directory.coldMillis(now, replica.id()) > 0;
	}

	private boolean room(long now, Wanted wanted, Replica replica) {
		return wanted.nodes().isPresent()
				&& this.pace.room(now, replica, wanted.coldStart().perSecond(), wanted.nodes().get());
	}

	private List<Replica> open(long now, Wanted wanted) {
		return this.directory.usable(now, wanted.service(),
				(dataCenter) -> wanted.limit().allows(this.place.region(dataCenter)));
	}

	private List<Replica> allowed(long now, Wanted wanted, List<Replica> open, Predicate<Replica> bears) {
		List<Replica> able = open.stream().filter(bears).toList();
		List<Replica> allowed = taking(now, ofRelease(now, wanted, able));
		if (!allowed.isEmpty() || wanted.rollout().isEmpty() || wanted.key().session()) {
			return allowed;
		}
		// The old release is known to be sound, while more requests for a new one would
		// expose more callers to it.
		return taking(now, wanted.rollout().get().former(able));
	}

	private static List<Replica> ofRelease(long now, Wanted wanted, List<Replica> able) {
		return wanted.rollout().map((rollout) -> rollout.allowed(now, able, wanted.key())).orElse(able);
	}

	private List<Replica> taking(long now, List<Replica> replicas) {
		return replicas.stream().filter((replica) -> this.backpressure.takes(now, replica)).toList();
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
	 */
	public record Wanted(ServiceName service, RegionLimit limit, ColdStart coldStart, Optional<Integer> nodes,
			Optional<Rollout> rollout, ReleaseKey key) {
	}

	/**
	 * Why there is no replica.
	 */
	public enum NoReplica {

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
