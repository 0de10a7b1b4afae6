package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.Map;

import org.gullsaddle.base.KeyHash;
import org.gullsaddle.fleet.RolloutState;
import org.gullsaddle.fleet.ServiceName;

/**
 * Decides when a node writes a due state of a roll-out to the store. Confined to one
 * thread.
 * <p>
 * A state is due on all nodes at once, and only the first write succeeds. The writes are
 * therefore spread over time, so that most nodes read the new state before they would
 * write it.
 */
public final class RolloutWriteSchedule {

	/**
	 * The time over which the nodes' writes of {@code RUNNING} are spread, as a ratio of
	 * the roll-out's duration. Nothing waits for this write.
	 */
	private static final double START_SPREAD_RATIO = 0.2;

	/** The same for {@code COMPLETED}, which must be written by a fixed time. */
	private static final double COMPLETE_SPREAD_RATIO = 0.04;

	/** The time over which writes of {@code ROLLED_BACK} are spread, in milliseconds. */
	private static final double ROLL_BACK_SPREAD_MILLIS = 300;

	/**
	 * How long a node waits before it writes the same state again, in milliseconds: by
	 * then it has read what is in the store.
	 */
	private static final long REWRITE_DELAY_MILLIS = 2000;

	private final Map<ServiceName, ScheduledWrite> scheduledWrites = new HashMap<>();

	private final String node;

	/**
	 * Creates the schedule of a node.
	 * @param node the node's name
	 */
	public RolloutWriteSchedule(String node) {
		this.node = node;
	}

	/**
	 * Returns whether this node must write a state now.
	 * @param now the time in milliseconds
	 * @param rollout the roll-out
	 * @param state the state that is due
	 * @return whether its write is due
	 */
	public boolean isWriteDue(long now, Rollout rollout, RolloutState state) {
		ServiceName service = rollout.order().service();
		ScheduledWrite scheduled = this.scheduledWrites.get(service);
		if (scheduled == null || scheduled.revision != rollout.revision() || scheduled.state != state) {
			scheduled = new ScheduledWrite(rollout.revision(), state, now + delayMillis(rollout, state));
			this.scheduledWrites.put(service, scheduled);
		}
		return now >= scheduled.dueAt;
	}

	/**
	 * Handles the store's answer to a write, whether it succeeded or not.
	 * @param now the time in milliseconds
	 * @param rollout the roll-out
	 * @param state the state that was written
	 */
	public void onWriteAnswered(long now, Rollout rollout, RolloutState state) {
		this.scheduledWrites.put(rollout.order().service(),
				new ScheduledWrite(rollout.revision(), state, now + REWRITE_DELAY_MILLIS));
	}

	private long delayMillis(Rollout rollout, RolloutState state) {
		long duration = rollout.order().durationMillis();
		double spread = switch (state) {
			case RUNNING -> START_SPREAD_RATIO * duration;
			case COMPLETED -> COMPLETE_SPREAD_RATIO * duration;
			case ROLLED_BACK -> ROLL_BACK_SPREAD_MILLIS;
		};
		return Math.round(spread * KeyHash.toUnitInterval(this.node + '/' + rollout.order().target() + '/' + state));
	}

	/**
	 * When a node writes a state.
	 *
	 * @param revision the revision of the roll-out's order
	 * @param state the state
	 * @param dueAt when to write, in milliseconds
	 */
	private record ScheduledWrite(long revision, RolloutState state, long dueAt) {
	}

}
