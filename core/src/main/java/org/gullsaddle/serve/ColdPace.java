package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.gullsaddle.base.KeyHash;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;

/**
 * How many requests this node may send to cold replicas. Confined to one thread.
 * <p>
 * A cold replica bears a few requests a second from all nodes together. Nodes share no
 * counter, so each keeps to its part of what the replica bears. A part below one request
 * a second is one request in some seconds only; a hash draws them, so that nodes do not
 * send in the same second and need no common clock.
 */
public final class ColdPace {

	/**
	 * The part of what a replica bears that is used: the sum of what nodes draw varies
	 * from second to second.
	 */
	private static final double USED_PART = 0.35;

	private static final long SECOND_MILLIS = 1000;

	/**
	 * The part of its second in which a node may send, in milliseconds: where many nodes
	 * find at once that all replicas are cold, fewer of them have two turns in a row.
	 */
	private static final long TURN_MILLIS = 500;

	private final String node;

	private final Map<ReplicaId, Sent> sent = new HashMap<>();

	/**
	 * Makes a pace.
	 * @param node this node's name
	 */
	public ColdPace(String node) {
		this.node = node;
	}

	/**
	 * Says whether a cold replica may get one more request from this node now.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @param perSecond how many requests a second it bears from all nodes together
	 * @param nodes how many nodes there are
	 * @return true if it may
	 */
	public boolean room(long now, Replica replica, double perSecond, int nodes) {
		if (Math.floorMod(now, SECOND_MILLIS) >= TURN_MILLIS) {
			return false;
		}
		long second = Math.floorDiv(now, SECOND_MILLIS);
		return count(second, replica.id()) < most(second, replica.id(), USED_PART * perSecond / nodes);
	}

	/**
	 * Notes that a request was sent to a cold replica.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 */
	public void sent(long now, Replica replica) {
		long second = Math.floorDiv(now, SECOND_MILLIS);
		this.sent.put(replica.id(), new Sent(second, count(second, replica.id()) + 1));
	}

	/**
	 * Forgets replicas that are gone.
	 * @param known those to remember
	 */
	public void retain(Set<ReplicaId> known) {
		this.sent.keySet().retainAll(known);
	}

	private int count(long second, ReplicaId replica) {
		Sent last = this.sent.get(replica);
		return (last != null && last.second == second) ? last.count : 0;
	}

	private long most(long second, ReplicaId replica, double share) {
		double whole = Math.floor(share);
		boolean oneMore = KeyHash.toUnitInterval(this.node + '/' + replica + '/' + second) < share - whole;
		return (long) whole + (oneMore ? 1 : 0);
	}

	private record Sent(long second, int count) {
	}

}
