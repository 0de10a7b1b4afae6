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
 * How replicas asked for fewer requests, and what this node may send them. What one
 * process asked does not bind the next one under its id. Confined to one thread.
 */
public final class BackpressureBook {

	/** The latest time at which a refused caller is told to come back. */
	private static final long LATEST_BACK_MILLIS = 10_000;

	/** The longest rest that a replica is given by one answer. */
	private static final long LONGEST_REST_MILLIS = 300_000;

	private static final double SECOND_MILLIS = 1000;

	private final NodeId self;

	private final Place place;

	private final Supplier<Optional<List<Peer>>> peers;

	private final RandomGenerator random;

	private final Map<ReplicaId, LimitedReplica> limited = new HashMap<>();

	private final Map<ReplicaId, Rest> rests = new HashMap<>();

	/** Until when the parts of limits are promised to callers that were refused. */
	private final Map<ServiceName, Long> promised = new HashMap<>();

	/**
	 * Makes an empty book.
	 * @param self this node
	 * @param place where it is
	 * @param peers tells all nodes, or empty while others may not know this one
	 * @param random draws when this node has its turns
	 */
	public BackpressureBook(NodeId self, Place place, Supplier<Optional<List<Peer>>> peers, RandomGenerator random) {
		this.self = self;
		this.place = place;
		this.peers = peers;
		this.random = random;
	}

	/**
	 * Takes in what an answer says.
	 * @param now the time in milliseconds
	 * @param replica the replica that answered
	 * @param asked what it asks for
	 * @return whether its limit is another one than before
	 */
	public boolean heard(long now, Replica replica, Backpressure asked) {
		if (asked.restMillis() > 0) {
			rest(replica, now + Math.min(asked.restMillis(), LONGEST_REST_MILLIS));
		}
		OptionalDouble before = limit(replica);
		switch (asked.limit()) {
			case RateLimit.Named named -> limit(now, replica, named.perSecond());
			case RateLimit.None none -> this.limited.remove(replica.id());
			case RateLimit.Unreadable unreadable -> {
			}
		}
		return !limit(replica).equals(before);
	}

	/**
	 * An answer to a request that was sent before may ask for a rest that ends sooner.
	 */
	private void rest(Replica replica, long until) {
		Rest known = this.rests.get(replica.id());
		boolean later = known == null || !known.replica.isSameProcess(replica) || known.until < until;
		if (later) {
			this.rests.put(replica.id(), new Rest(replica, until));
		}
	}

	private void limit(long now, Replica replica, double perSecond) {
		LimitedReplica known = this.limited.get(replica.id());
		if (known == null || !known.replica().isSameProcess(replica)) {
			known = new LimitedReplica(now, replica, this.self, this.place, this.random);
			this.limited.put(replica.id(), known);
		}
		known.peers(now, this.peers.get());
		known.limit(now, perSecond);
	}

	/**
	 * Returns the limit that a replica names.
	 * @param replica the replica
	 * @return the requests a second that it takes from all nodes, or empty for no limit
	 */
	public OptionalDouble limit(Replica replica) {
		LimitedReplica known = this.limited.get(replica.id());
		return (known != null && known.replica().isSameProcess(replica)) ? OptionalDouble.of(known.perSecond())
				: OptionalDouble.empty();
	}

	/**
	 * Returns how many nodes come before this one for a limited replica, or empty if that
	 * is not known.
	 */
	OptionalInt rank(long now, Replica replica) {
		return limited(now, replica).map(LimitedReplica::rank).orElse(OptionalInt.empty());
	}

	/**
	 * Says whether every node has a share of a replica's limit.
	 */
	boolean sharedByAll(long now, Replica replica) {
		return limited(now, replica).map(LimitedReplica::sharedByAll).orElse(false);
	}

	/**
	 * Says whether any replica asks for fewer requests.
	 */
	boolean any(long now) {
		this.rests.values().removeIf((rest) -> rest.until <= now);
		return !this.limited.isEmpty() || !this.rests.isEmpty();
	}

	/**
	 * Says whether a replica may be given one more request now.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @return true if it has not asked for rest, and names no limit or this node has a
	 * part of it left
	 */
	public boolean takes(long now, Replica replica) {
		if (restMillis(now, replica) > 0) {
			return false;
		}
		return limited(now, replica).map((each) -> each.room(now)).orElse(true);
	}

	/**
	 * Returns how long a replica is still to get nothing from this node.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @return the time from now, in milliseconds, 0 if it has not asked for rest
	 */
	public long restMillis(long now, Replica replica) {
		Rest known = this.rests.get(replica.id());
		return (known != null && known.replica.isSameProcess(replica)) ? Math.max(0, known.until - now) : 0;
	}

	/**
	 * Says whether a replica may be asked for its load. That is work too, and what a
	 * replica in need takes is kept for requests.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @return true if it names no limit and has not asked for rest
	 */
	public boolean mayAsk(long now, Replica replica) {
		return limit(replica).isEmpty() && restMillis(now, replica) == 0;
	}

	/**
	 * Gives a request to a replica.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @return whether it may be sent
	 */
	public Admission admit(long now, Replica replica) {
		if (restMillis(now, replica) > 0) {
			return Admission.DENIED;
		}
		return limited(now, replica).map((each) -> {
			if (!each.room(now)) {
				return Admission.DENIED;
			}
			each.take(now);
			return Admission.COUNTED;
		}).orElse(Admission.FREE);
	}

	/**
	 * Says whether a request may be sent now that there is a connection: the replica may
	 * have asked for rest or named a limit since the request was given to it.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @param before what was said when the request was given to it
	 * @return true if it may be sent
	 */
	public boolean mayStillSend(long now, Replica replica, Admission before) {
		return switch (before) {
			case FREE -> admit(now, replica) != Admission.DENIED;
			case COUNTED -> restMillis(now, replica) == 0;
			case DENIED -> false;
		};
	}

	/**
	 * Returns when a caller is to come back for whom no replica of a service has room.
	 * Callers that are refused one after the other are told times as far apart as the
	 * requests that this node may send.
	 * @param now the time in milliseconds
	 * @param service the service
	 * @param replicas its replicas, one or more, all limited or resting
	 * @return the time from now, in milliseconds
	 */
	public long backMillis(long now, ServiceName service, Collection<Replica> replicas) {
		double perSecond = 0;
		long soonest = LATEST_BACK_MILLIS;
		for (Replica replica : replicas) {
			long rest = restMillis(now, replica);
			Optional<LimitedReplica> known = limited(now, replica);
			perSecond += known.map((each) -> each.share().perSecond()).orElse(0.0);
			soonest = Math.min(soonest, Math.max(rest, known.map((each) -> each.waitMillis(now)).orElse(rest)));
		}
		long apart = (perSecond > 0) ? Math.round(SECOND_MILLIS / perSecond) : 0;
		long next = Math.max(now + soonest, this.promised.getOrDefault(service, now) + apart);
		long at = Math.min(next, now + LATEST_BACK_MILLIS);
		this.promised.put(service, at);
		return at - now;
	}

	/**
	 * Returns how many replicas name a limit.
	 * @return their number
	 */
	public int countLimited() {
		return this.limited.size();
	}

	/**
	 * Returns how many replicas have asked this node for rest.
	 * @param now the time in milliseconds
	 * @return their number
	 */
	public long countResting(long now) {
		return this.rests.values().stream().filter((rest) -> rest.until > now).count();
	}

	/**
	 * Forgets replicas that are gone.
	 * @param known those to remember
	 */
	public void retain(Set<ReplicaId> known) {
		this.limited.keySet().retainAll(known);
		this.rests.keySet().retainAll(known);
	}

	private Optional<LimitedReplica> limited(long now, Replica replica) {
		LimitedReplica known = this.limited.get(replica.id());
		if (known == null || !known.replica().isSameProcess(replica)) {
			return Optional.empty();
		}
		known.peers(now, this.peers.get());
		return Optional.of(known);
	}

	private record Rest(Replica replica, long until) {
	}

}
