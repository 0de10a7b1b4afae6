package org.gullsaddle.serve;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import org.gullsaddle.base.KeyHash;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.fleet.Replica;

/**
 * A node's share of a replica's rate limit.
 * <p>
 * Nodes share no counter. Each knows its peers, and all compute the same shares: the few
 * nodes nearest to the replica have equal shares of its limit, the others none. If the
 * limit were spread over many nodes, one request from each would already exceed it. The
 * fewer nodes have a share, the fewer requests can be sent at once.
 *
 * @param perSecond the requests a second that the node may send
 * @param burst the number of requests that it may send at once after a pause
 */
record LimitShare(double perSecond, double burst) {

	/** The share of a node that may send nothing. */
	static final LimitShare NONE = new LimitShare(0, 0);

	/**
	 * As many nodes have a share as the replica takes requests in this many seconds, and
	 * the extra nodes.
	 */
	private static final double SHARING_SECONDS = 2;

	private static final int EXTRA_SHARING_NODES = 2;

	/** How many seconds of a share may be saved for a burst. */
	private static final double MAX_BURST_SECONDS = 1;

	/**
	 * Returns how many nodes come before a node when those nearest to a replica come
	 * first.
	 * @param replica the replica
	 * @param self the node
	 * @param peers all nodes
	 * @param place knows the distances between data centers
	 * @return their number, or empty if the node is not among them
	 */
	static OptionalInt findNodePosition(Replica replica, NodeId self, List<Peer> peers, NodeLocation place) {
		Optional<Peer> own = peers.stream().filter((peer) -> peer.node().equals(self)).findFirst();
		if (own.isEmpty()) {
			return OptionalInt.empty();
		}
		Comparator<Peer> nearest = nearestFirst(replica, place);
		return OptionalInt.of((int) peers.stream().filter((peer) -> nearest.compare(peer, own.get()) < 0).count());
	}

	/**
	 * Computes a node's share.
	 * @param perSecond the replica's limit
	 * @param position how many nodes come before it for the replica
	 * @param nodes the number of nodes
	 */
	static LimitShare of(double perSecond, int position, int nodes) {
		long sharing = sharingNodes(perSecond, nodes);
		if (position >= sharing) {
			return NONE;
		}
		double share = perSecond / sharing;
		return new LimitShare(share, Math.max(1, MAX_BURST_SECONDS * share));
	}

	/**
	 * Returns how many nodes have a share.
	 * @param perSecond the replica's limit
	 * @param nodes the number of nodes
	 */
	static long sharingNodes(double perSecond, int nodes) {
		return (long) Math.min(nodes, Math.floor(SHARING_SECONDS * perSecond) + EXTRA_SHARING_NODES);
	}

	private static Comparator<Peer> nearestFirst(Replica replica, NodeLocation place) {
		return Comparator.comparing((Peer peer) -> place.distance(peer.dataCenter(), replica.dataCenter()))
			.thenComparing((peer) -> KeyHash.toUnitInterval(peer.node() + "/" + replica.id()))
			.thenComparing(Peer::node);
	}

}
