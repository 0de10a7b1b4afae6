package org.gullsaddle.serve;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.gullsaddle.base.NodeId;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.ServiceName;

/**
 * Holds the rate limits and back-offs of replicas and decides what this node may send
 * them. What one process of a replica asked for does not apply to the next one with the
 * same id. Confined to one thread.
 */
public final class BackpressureTable {

	/** The longest retry-after time given to a refused caller. */
	private static final long MAX_RETRY_AFTER_MILLIS = 10_000;

	/** The longest back-off that one answer can cause. */
	private static final long MAX_BACK_OFF_MILLIS = 300_000;

	private static final double MILLIS_PER_SECOND = 1000;

	private final NodeId self;

	private final NodeLocation place;

	private final Supplier<Optional<List<Peer>>> peers;

	private final RandomGenerator random;

	private final Map<ReplicaId, LimitedReplica> limitedReplicas = new HashMap<>();

	private final Map<ReplicaId, BackOff> backOffs = new HashMap<>();

	/**
	 * Until when the capacity of a service's limited replicas is reserved for refused
	 * callers.
	 */
	private final Map<ServiceName, Long> promisedUntil = new HashMap<>();

	/**
	 * Creates an empty table.
	 * @param self this node
	 * @param place the node's location
	 * @param peers supplies all nodes, or empty while peers may not know this node
	 * @param random draws when this node may probe
	 */
	public BackpressureTable(NodeId self, NodeLocation place, Supplier<Optional<List<Peer>>> peers,
			RandomGenerator random) {
		this.self = self;
		this.place = place;
		this.peers = peers;
		this.random = random;
	}

	/**
	 * Handles the back-pressure of an answer.
	 * @param now the time in milliseconds
	 * @param replica the replica that answered
	 * @param asked the back-pressure
	 * @return whether the replica's rate limit has changed
	 */
	public boolean onAnswer(long now, Replica replica, Backpressure asked) {
		if (asked.backOffMillis() > 0) {
			startBackOff(replica, now + Math.min(asked.backOffMillis(), MAX_BACK_OFF_MILLIS));
		}
		OptionalDouble before = limit(replica);
		switch (asked.limit()) {
			case RateLimit.Limited named -> limit(now, replica, named.perSecond());
			case RateLimit.Unlimited none -> this.limitedReplicas.remove(replica.id());
			case RateLimit.Invalid unreadable -> {
			}
		}
		return !limit(replica).equals(before);
	}

	/**
	 * Starts a back-off. One that would end sooner than the known one, from an answer to
	 * an earlier request, is ignored.
	 */
	private void startBackOff(Replica replica, long until) {
		BackOff known = this.backOffs.get(replica.id());
		boolean later = known == null || !known.replica.isSameProcess(replica) || known.until < until;
		if (later) {
			this.backOffs.put(replica.id(), new BackOff(replica, until));
		}
	}

	private void limit(long now, Replica replica, double perSecond) {
		LimitedReplica known = this.limitedReplicas.get(replica.id());
		if (known == null || !known.replica().isSameProcess(replica)) {
			known = new LimitedReplica(now, replica, this.self, this.place, this.random);
			this.limitedReplicas.put(replica.id(), known);
		}
		known.updatePeers(now, this.peers.get());
		known.updateLimit(now, perSecond);
	}

	/**
	 * Returns a replica's rate limit.
	 * @param replica the replica
	 * @return the requests a second that it takes from all nodes together, or empty
	 * without a limit
	 */
	public OptionalDouble limit(Replica replica) {
		LimitedReplica known = this.limitedReplicas.get(replica.id());
		return (known != null && known.replica().isSameProcess(replica)) ? OptionalDouble.of(known.perSecond())
				: OptionalDouble.empty();
	}

	/**
	 * Returns how many nodes come before this one in the distribution of a replica's rate
	 * limit, or empty if that is not known.
	 */
	OptionalInt findNodePosition(long now, Replica replica) {
		return findLimited(now, replica).map(LimitedReplica::nodePosition).orElse(OptionalInt.empty());
	}

	/**
	 * Returns whether every node has a share of a replica's rate limit.
	 */
	boolean isSharedByAllNodes(long now, Replica replica) {
		return findLimited(now, replica).map(LimitedReplica::isSharedByAllNodes).orElse(false);
	}

	/**
	 * Returns whether any replica has a rate limit or a back-off.
	 */
	boolean hasBackpressure(long now) {
		this.backOffs.values().removeIf((backOff) -> backOff.until <= now);
		return !this.limitedReplicas.isEmpty() || !this.backOffs.isEmpty();
	}

	/**
	 * Returns whether one more request may be sent to a replica now.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @return true if it is not in a back-off, and has no rate limit or this node has
	 * some of its share left
	 */
	public boolean canSend(long now, Replica replica) {
		if (backOffMillis(now, replica) > 0) {
			return false;
		}
		return findLimited(now, replica).map((each) -> each.canSend(now)).orElse(true);
	}

	/**
	 * Returns the remaining back-off of a replica.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @return the time from now, in milliseconds, 0 without a back-off
	 */
	public long backOffMillis(long now, Replica replica) {
		BackOff known = this.backOffs.get(replica.id());
		return (known != null && known.replica.isSameProcess(replica)) ? Math.max(0, known.until - now) : 0;
	}

	/**
	 * Returns whether a replica may be asked for its load. A load request is work too,
	 * and the little that an overloaded replica takes is kept for callers' requests.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @return true if it has neither a rate limit nor a back-off
	 */
	public boolean canAskForLoad(long now, Replica replica) {
		return limit(replica).isEmpty() && backOffMillis(now, replica) == 0;
	}

	/**
	 * Admits a request to a replica and counts it against the rate limit.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @return whether it may be sent
	 */
	public SendPermission admit(long now, Replica replica) {
		if (backOffMillis(now, replica) > 0) {
			return SendPermission.DENIED;
		}
		return findLimited(now, replica).map((each) -> {
			if (!each.canSend(now)) {
				return SendPermission.DENIED;
			}
			each.recordSent(now);
			return SendPermission.COUNTED;
		}).orElse(SendPermission.UNLIMITED);
	}

	/**
	 * Returns whether a request may be sent now that there is a connection: the replica
	 * may have asked for a back-off or a rate limit since it was chosen.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @param before the permission given when the replica was chosen
	 * @return true if it may be sent
	 */
	public boolean canStillSend(long now, Replica replica, SendPermission before) {
		return switch (before) {
			case UNLIMITED -> admit(now, replica) != SendPermission.DENIED;
			case COUNTED -> backOffMillis(now, replica) == 0;
			case DENIED -> false;
		};
	}

	/**
	 * Returns the retry-after time of a caller refused because no replica of a service
	 * takes a request, and reserves that time. Successive callers get times as far apart
	 * as the requests that this node may send.
	 * @param now the time in milliseconds
	 * @param service the service
	 * @param replicas its replicas, one or more, all with a rate limit or a back-off
	 * @return the time from now, in milliseconds
	 */
	public long nextRetryAfterMillis(long now, ServiceName service, Collection<Replica> replicas) {
		double perSecond = 0;
		long earliestMillis = MAX_RETRY_AFTER_MILLIS;
		for (Replica replica : replicas) {
			long backOff = backOffMillis(now, replica);
			Optional<LimitedReplica> known = findLimited(now, replica);
			perSecond += known.map((each) -> each.share().perSecond()).orElse(0.0);
			earliestMillis = Math.min(earliestMillis,
					Math.max(backOff, known.map((each) -> each.waitMillis(now)).orElse(backOff)));
		}
		long intervalMillis = (perSecond > 0) ? Math.round(MILLIS_PER_SECOND / perSecond) : 0;
		long nextAt = Math.max(now + earliestMillis, this.promisedUntil.getOrDefault(service, now) + intervalMillis);
		long at = Math.min(nextAt, now + MAX_RETRY_AFTER_MILLIS);
		this.promisedUntil.put(service, at);
		return at - now;
	}

	/**
	 * Returns how many replicas have a rate limit.
	 * @return their number
	 */
	public int countLimited() {
		return this.limitedReplicas.size();
	}

	/**
	 * Returns how many replicas are in a back-off for this node.
	 * @param now the time in milliseconds
	 * @return their number
	 */
	public long countBackingOff(long now) {
		return this.backOffs.values().stream().filter((backOff) -> backOff.until > now).count();
	}

	/**
	 * Removes replicas that no longer exist.
	 * @param known the replicas to keep
	 */
	public void retain(Set<ReplicaId> known) {
		this.limitedReplicas.keySet().retainAll(known);
		this.backOffs.keySet().retainAll(known);
	}

	/**
	 * Removes what was promised for services that are no longer configured.
	 * @param known the services to keep
	 */
	public void retainServices(Set<ServiceName> known) {
		this.promisedUntil.keySet().retainAll(known);
	}

	private Optional<LimitedReplica> findLimited(long now, Replica replica) {
		LimitedReplica known = this.limitedReplicas.get(replica.id());
		if (known == null || !known.replica().isSameProcess(replica)) {
			return Optional.empty();
		}
		known.updatePeers(now, this.peers.get());
		return Optional.of(known);
	}

	private record BackOff(Replica replica, long until) {
	}

}
