package org.gullsaddle.serve;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.random.RandomGenerator;

import org.gullsaddle.base.NodeId;
import org.gullsaddle.fleet.Replica;

/**
 * A replica that names a rate limit, and what this node may still send there.
 * <p>
 * A node without a share would never hear that the limit has ended. So every node has a
 * turn now and then, at a time that it draws, in which it may send one request; a turn
 * that is not used is lost.
 */
final class LimitedReplica {

	/** How long all nodes together take for one turn each, for every node. */
	private static final long TURN_EVERY_MILLIS = 10_000;

	private static final long TURN_MILLIS = 1000;

	/** How many nodes are assumed while they are not known. */
	private static final int UNKNOWN_NODES = 10;

	private static final double SECOND_MILLIS = 1000;

	private final Replica replica;

	private final NodeId self;

	private final NodeLocation place;

	/** Where in the order of turns this node begins, from 0 to 1. */
	private final double phase;

	private double perSecond;

	private Optional<List<Peer>> peers = Optional.empty();

	private OptionalInt rank = OptionalInt.empty();

	private LimitShare share = LimitShare.NONE;

	private double tokens;

	private long refilledAt;

	private long lastTurn = Long.MIN_VALUE;

	LimitedReplica(long now, Replica replica, NodeId self, NodeLocation place, RandomGenerator random) {
		this.replica = replica;
		this.self = self;
		this.place = place;
		this.phase = random.nextDouble();
		this.refilledAt = now;
	}

	Replica replica() {
		return this.replica;
	}

	double perSecond() {
		return this.perSecond;
	}

	/**
	 * Takes in the limit that the replica names now.
	 */
	void limit(long now, double newPerSecond) {
		if (this.perSecond != newPerSecond) {
			refill(now);
			this.perSecond = newPerSecond;
			workOutShare();
		}
	}

	/**
	 * Takes in which nodes there are, or empty while others may not know this one.
	 */
	void peers(long now, Optional<List<Peer>> newPeers) {
		if (!this.peers.equals(newPeers)) {
			refill(now);
			this.peers = newPeers;
			this.rank = newPeers.map((known) -> LimitShare.rank(this.replica, this.self, known, this.place))
				.orElse(OptionalInt.empty());
			workOutShare();
		}
	}

	private void workOutShare() {
		this.share = this.rank.isPresent()
				? LimitShare.of(this.perSecond, this.rank.getAsInt(), this.peers.map(List::size).orElse(0))
				: LimitShare.NONE;
		this.tokens = Math.min(this.tokens, this.share.burst());
	}

	/**
	 * Says whether one more request may be sent.
	 */
	boolean room(long now) {
		refill(now);
		return this.tokens >= 1 || turnOpen(now);
	}

	/**
	 * Notes that a request is sent.
	 */
	void take(long now) {
		refill(now);
		if (this.tokens >= 1) {
			this.tokens--;
		}
		else {
			this.lastTurn = turn(now);
		}
	}

	/**
	 * Returns when there is room for a request again, in milliseconds from now.
	 */
	long waitMillis(long now) {
		if (room(now)) {
			return 0;
		}
		long period = period();
		long untilTurn = period - Math.floorMod(inTurns(now), period);
		if (this.share.perSecond() == 0) {
			return untilTurn;
		}
		long untilToken = (long) Math.ceil((1 - this.tokens) / this.share.perSecond() * SECOND_MILLIS);
		return Math.min(untilToken, untilTurn);
	}

	OptionalInt rank() {
		return this.rank;
	}

	boolean sharedByAll() {
		return this.perSecond > 0 && this.peers.isPresent()
				&& LimitShare.parts(this.perSecond, this.peers.get().size()) == this.peers.get().size();
	}

	LimitShare share() {
		return this.share;
	}

	private void refill(long now) {
		double earned = this.share.perSecond() * (now - this.refilledAt) / SECOND_MILLIS;
		this.tokens = Math.min(this.share.burst(), this.tokens + earned);
		this.refilledAt = now;
	}

	private boolean turnOpen(long now) {
		return Math.floorMod(inTurns(now), period()) < TURN_MILLIS && turn(now) != this.lastTurn;
	}

	private long turn(long now) {
		return Math.floorDiv(inTurns(now), period());
	}

	private long inTurns(long now) {
		return now + Math.round(this.phase * period());
	}

	private long period() {
		return TURN_EVERY_MILLIS * this.peers.map(List::size).orElse(UNKNOWN_NODES);
	}

}
