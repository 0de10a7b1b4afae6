package org.gullsaddle.serve;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import org.gullsaddle.base.KeyHash;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.fleet.Replica;

/**
 * A node's share of the requests that a replica takes from all nodes together.
 * <p>
 * Nodes share no counter. Each knows the others, and all work out the same shares: a few
 * nodes, those nearest to the replica, have equal parts of its limit, the others none.
 * Were the limit spread over all of many nodes, one request from each would already be
 * too much. The fewer the nodes with a part, the less they can send at once.
 *
 * @param perSecond the requests a second that the node may send
 * @param burst how many of them it may send at once, after some time without any
 */
record LimitShare(double perSecond, double burst) {

	/** The share of a node that sends nothing. */
	static final LimitShare NONE = new LimitShare(0, 0);

	/**
	 * The nodes with a part: as many as the replica takes requests in this time, and some
	 * more.
	 */
	private static final double NODES_SECONDS = 2;

	private static final int MORE_NODES = 2;

	/** How long a share may be saved up for a burst. */
	private static final double BURST_SECONDS = 1;

	/**
	 * Returns how many nodes come before a node for a replica: those nearer to it first.
	 * @param replica the replica
	 * @param self the node
	 * @param peers all nodes
	 * @param place says which data centers are near each other
	 * @return their number, or empty if the node is not among them
	 */
	static OptionalInt rank(Replica replica, NodeId self, List<Peer> peers, Place place) {
		Optional<Peer> own = peers.stream().filter((peer) -> peer.node().equals(self)).findFirst();
		if (own.isEmpty()) {
			return OptionalInt.empty();
		}
		Comparator<Peer> nearest = nearest(replica, place);
		return OptionalInt.of((int) peers.stream().filter((peer) -> nearest.compare(peer, own.get()) < 0).count());
	}

	/**
	 * Works out a node's share.
	 * @param perSecond the replica's limit
	 * @param rank how many nodes come before it for the replica
	 * @param nodes how many nodes there are
	 */
	static LimitShare of(double perSecond, int rank, int nodes) {
		long parts = parts(perSecond, nodes);
		if (rank >= parts) {
			return NONE;
		}
		double share = perSecond / parts;
		return new LimitShare(share, Math.max(1, BURST_SECONDS * share));
	}

	/**
	 * Returns how many nodes have a share.
	 * @param perSecond the replica's limit
	 * @param nodes how many nodes there are
	 */
	static long parts(double perSecond, int nodes) {
		return Math.min(nodes, (long) Math.floor(NODES_SECONDS * perSecond) + MORE_NODES);
	}

	private static Comparator<Peer> nearest(Replica replica, Place place) {
		return Comparator.comparing((Peer peer) -> place.reach(peer.dataCenter(), replica.dataCenter()))
			.thenComparing((peer) -> KeyHash.toUnitInterval(peer.node() + "/" + replica.id()))
			.thenComparing(Peer::node);
	}

}
