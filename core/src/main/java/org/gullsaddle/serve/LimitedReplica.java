package org.gullsaddle.serve;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.random.RandomGenerator;

import org.gullsaddle.base.NodeId;
import org.gullsaddle.fleet.Replica;

/**
 * A replica with a rate limit, and a token bucket of what this node may send it.
 * <p>
 * A node without a share would never learn that the limit has ended. So every node may
 * probe from time to time, in a window that it draws: it may send one request in it. A
 * window that is not used is lost.
 */
final class LimitedReplica {

	/** The mean time between the probe windows of all nodes together, in milliseconds. */
	private static final long PROBE_INTERVAL_MILLIS = 10_000;

	private static final long PROBE_WINDOW_MILLIS = 1000;

	/** The number of nodes assumed while it is not known. */
	private static final int ASSUMED_NODES = 10;

	private static final double MILLIS_PER_SECOND = 1000;

	private final Replica replica;

	private final NodeId self;

	private final NodeLocation place;

	/** The phase of this node's probe windows, from 0 to 1. */
	private final double probePhase;

	private double perSecond;

	private Optional<List<Peer>> peers = Optional.empty();

	private OptionalInt nodePosition = OptionalInt.empty();

	private LimitShare share = LimitShare.NONE;

	private double tokens;

	private long refilledAt;

	private long lastProbe = Long.MIN_VALUE;

	LimitedReplica(long now, Replica replica, NodeId self, NodeLocation place, RandomGenerator random) {
		this.replica = replica;
		this.self = self;
		this.place = place;
		this.probePhase = random.nextDouble();
		this.refilledAt = now;
	}

	Replica replica() {
		return this.replica;
	}

	double perSecond() {
		return this.perSecond;
	}

	/**
	 * Updates the replica's limit.
	 */
	void updateLimit(long now, double newPerSecond) {
		if (this.perSecond != newPerSecond) {
			refill(now);
			this.perSecond = newPerSecond;
			recomputeShare();
		}
	}

	/**
	 * Updates the nodes, empty while peers may not know this node.
	 */
	void updatePeers(long now, Optional<List<Peer>> newPeers) {
		if (!this.peers.equals(newPeers)) {
			refill(now);
			this.peers = newPeers;
			this.nodePosition = newPeers
				.map((known) -> LimitShare.findNodePosition(this.replica, this.self, known, this.place))
				.orElse(OptionalInt.empty());
			recomputeShare();
		}
	}

	private void recomputeShare() {
		this.share = this.nodePosition.isPresent()
				? LimitShare.of(this.perSecond, this.nodePosition.getAsInt(), this.peers.map(List::size).orElse(0))
				: LimitShare.NONE;
		this.tokens = Math.min(this.tokens, this.share.burst());
	}

	/**
	 * Returns whether one more request may be sent.
	 */
	boolean canSend(long now) {
		refill(now);
		return this.tokens >= 1 || isProbeOpen(now);
	}

	/**
	 * Counts a request that is sent, as a token or as this window's probe.
	 */
	void recordSent(long now) {
		refill(now);
		if (this.tokens >= 1) {
			this.tokens--;
		}
		else {
			this.lastProbe = probeIndex(now);
		}
	}

	/**
	 * Returns when a request may be sent again, in milliseconds from now.
	 */
	long waitMillis(long now) {
		if (canSend(now)) {
			return 0;
		}
		long period = probePeriodMillis();
		long untilProbe = period - Math.floorMod(probeTime(now), period);
		if (this.share.perSecond() == 0) {
			return untilProbe;
		}
		long untilToken = (long) Math.ceil((1 - this.tokens) / this.share.perSecond() * MILLIS_PER_SECOND);
		return Math.min(untilToken, untilProbe);
	}

	OptionalInt nodePosition() {
		return this.nodePosition;
	}

	boolean isSharedByAllNodes() {
		return this.perSecond > 0 && this.peers.isPresent()
				&& LimitShare.sharingNodes(this.perSecond, this.peers.get().size()) == this.peers.get().size();
	}

	LimitShare share() {
		return this.share;
	}

	private void refill(long now) {
		double earned = this.share.perSecond() * (now - this.refilledAt) / MILLIS_PER_SECOND;
		this.tokens = Math.min(this.share.burst(), this.tokens + earned);
		this.refilledAt = now;
	}

	private boolean isProbeOpen(long now) {
		return Math.floorMod(probeTime(now), probePeriodMillis()) < PROBE_WINDOW_MILLIS
				&& probeIndex(now) != this.lastProbe;
	}

	private long probeIndex(long now) {
		return Math.floorDiv(probeTime(now), probePeriodMillis());
	}

	private long probeTime(long now) {
		return now + Math.round(this.probePhase * probePeriodMillis());
	}

	private long probePeriodMillis() {
		return PROBE_INTERVAL_MILLIS * this.peers.map(List::size).orElse(ASSUMED_NODES);
	}

}
