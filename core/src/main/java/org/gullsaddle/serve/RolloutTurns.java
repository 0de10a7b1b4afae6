package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.Map;

import org.gullsaddle.base.KeyHash;
import org.gullsaddle.fleet.RolloutState;
import org.gullsaddle.fleet.ServiceName;

/**
 * When a node writes a roll-out's state that is due. Confined to one thread.
 * <p>
 * A state is due on all nodes at once, and only the first write succeeds. Nodes write one
 * after another instead, so that most of them read the state before it is their turn.
 */
public final class RolloutTurns {

	/**
	 * The time over which nodes are spread to write that a roll-out runs, as a part of
	 * its time. Nothing waits for it.
	 */
	private static final double BEGIN_SPREAD = 0.2;

	/** The same for the end of a good roll-out, which is due by a fixed time. */
	private static final double COMPLETE_SPREAD = 0.04;

	/** The same for the end of a bad release, in milliseconds. */
	private static final double TAKE_BACK_SPREAD_MILLIS = 300;

	/**
	 * How long after a write the same state is not written again, in milliseconds: until
	 * this node has read what stands there.
	 */
	private static final long READ_MILLIS = 2000;

	private final Map<ServiceName, Turn> turns = new HashMap<>();

	private final String node;

	/**
	 * Makes a node's turns.
	 * @param node the node's name
	 */
	public RolloutTurns(String node) {
		this.node = node;
	}

	/**
	 * Says whether this node is to write a state now.
	 * @param now the time in milliseconds
	 * @param rollout the roll-out
	 * @param state the state that is due
	 * @return true if it is
	 */
	public boolean mine(long now, Rollout rollout, RolloutState state) {
		ServiceName service = rollout.order().service();
		Turn turn = this.turns.get(service);
		if (turn == null || turn.revision != rollout.revision() || turn.state != state) {
			turn = new Turn(rollout.revision(), state, now + wait(rollout, state));
			this.turns.put(service, turn);
		}
		return now >= turn.at;
	}

	/**
	 * Notes that the store answered a write, whether or not it took it.
	 * @param now the time in milliseconds
	 * @param rollout the roll-out
	 * @param state the state that was written
	 */
	public void answered(long now, Rollout rollout, RolloutState state) {
		this.turns.put(rollout.order().service(), new Turn(rollout.revision(), state, now + READ_MILLIS));
	}

	private long wait(Rollout rollout, RolloutState state) {
		long duration = rollout.order().durationMillis();
		double spread = switch (state) {
			case RUNNING -> BEGIN_SPREAD * duration;
			case COMPLETED -> COMPLETE_SPREAD * duration;
			case ROLLED_BACK -> TAKE_BACK_SPREAD_MILLIS;
		};
		return Math.round(spread * KeyHash.toUnitInterval(this.node + '/' + rollout.order().target() + '/' + state));
	}

	/**
	 * When a state is to be written.
	 *
	 * @param revision the revision of the roll-out's order
	 * @param state the state
	 * @param at the time in milliseconds
	 */
	private record Turn(long revision, RolloutState state, long at) {
	}

}
