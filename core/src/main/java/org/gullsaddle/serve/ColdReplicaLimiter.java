package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.gullsaddle.base.KeyHash;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;

/**
 * Limits how many requests this node sends to cold replicas. Confined to one thread.
 * <p>
 * A cold replica accepts a few requests a second from all nodes together. Nodes share no
 * counter, so each keeps to its share of the limit. A share below one request a second is
 * one request in some seconds only; a hash selects these seconds, so that nodes do not
 * all send in the same second and need no common clock.
 */
public final class ColdReplicaLimiter {

	/**
	 * The share of the limit that is used, because the sum over all nodes varies from
	 * second to second.
	 */
	private static final double USED_RATIO = 0.35;

	private static final long SECOND_MILLIS = 1000;

	/**
	 * Nodes send only in this first part of a second: if many nodes find at once that all
	 * replicas are cold, fewer of them send in two seconds in a row.
	 */
	private static final long SEND_WINDOW_MILLIS = 500;

	private final String node;

	private final Map<ReplicaId, SentCount> sentCounts = new HashMap<>();

	/**
	 * Creates a limiter.
	 * @param node this node's name
	 */
	public ColdReplicaLimiter(String node) {
		this.node = node;
	}

	/**
	 * Returns whether this node may send one more request to a cold replica now.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @param perSecond how many requests a second it accepts from all nodes together
	 * @param nodeCount how many nodes there are
	 * @return true if it may
	 */
	public boolean canSend(long now, Replica replica, double perSecond, int nodeCount) {
		if (Math.floorMod(now, SECOND_MILLIS) >= SEND_WINDOW_MILLIS) {
			return false;
		}
		long second = Math.floorDiv(now, SECOND_MILLIS);
		return sentInSecond(second, replica.id()) < maxRequests(second, replica.id(),
				USED_RATIO * perSecond / nodeCount);
	}

	/**
	 * Counts a request that was sent to a cold replica.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 */
	public void onSent(long now, Replica replica) {
		long second = Math.floorDiv(now, SECOND_MILLIS);
		this.sentCounts.put(replica.id(), new SentCount(second, sentInSecond(second, replica.id()) + 1));
	}

	/**
	 * Removes the counts of replicas that are gone.
	 * @param known the replicas to keep
	 */
	public void retain(Set<ReplicaId> known) {
		this.sentCounts.keySet().retainAll(known);
	}

	private int sentInSecond(long second, ReplicaId replica) {
		SentCount last = this.sentCounts.get(replica);
		return (last != null && last.second == second) ? last.count : 0;
	}

	private long maxRequests(long second, ReplicaId replica, double share) {
		double wholeRequests = Math.floor(share);
		boolean oneMore = KeyHash.toUnitInterval(this.node + '/' + replica + '/' + second) < share - wholeRequests;
		return (long) wholeRequests + (oneMore ? 1 : 0);
	}

	private record SentCount(long second, int count) {
	}

}
