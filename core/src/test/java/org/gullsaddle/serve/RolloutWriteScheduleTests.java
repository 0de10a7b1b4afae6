package org.gullsaddle.serve;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import org.gullsaddle.fleet.RolloutOrder;
import org.gullsaddle.fleet.RolloutState;
import org.gullsaddle.fleet.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

class RolloutWriteScheduleTests {

	private static final int NODES = 20;

	private static final long READ_MILLIS = 1600;

	private static final RolloutOrder ORDER = new RolloutOrder(new ServiceName("engines"), "v2", 24_000);

	/**
	 * Guards against twenty nodes that compete to write one state, each several times,
	 * before they read it from the store.
	 */
	@Test
	void fewOfManyNodesWriteAStateThatIsDueOnAllAtOnce() {
		List<Rollout> rollouts = new ArrayList<>();
		List<RolloutWriteSchedule> nodes = new ArrayList<>();
		for (int i = 0; i < NODES; i++) {
			rollouts.add(new Rollout(0, ORDER, 10));
			nodes.add(new RolloutWriteSchedule("node-" + i));
		}
		int writes = 0;
		long readAt = Long.MAX_VALUE;
		for (long now = 0; now <= ORDER.durationMillis() / 4; now += 100) {
			for (int i = 0; i < NODES; i++) {
				if (now >= readAt) {
					rollouts.get(i).onStateRead(RolloutState.RUNNING, "v2", 11);
				}
				boolean due = rollouts.get(i).findDueState(now).isPresent();
				if (due && nodes.get(i).isWriteDue(now, rollouts.get(i), RolloutState.RUNNING)) {
					writes++;
					readAt = Math.min(readAt, now + READ_MILLIS);
					nodes.get(i).onWriteAnswered(now, rollouts.get(i), RolloutState.RUNNING);
				}
			}
		}
		assertThat(writes).isBetween(1, NODES / 2);
		assertThat(readAt).isLessThan(ORDER.durationMillis() / 4);
	}

	@Test
	void rollBackIsWrittenWithin300Millis() {
		Rollout rollout = new Rollout(0, ORDER, 10);
		RolloutWriteSchedule turns = new RolloutWriteSchedule("node");
		turns.isWriteDue(0, rollout, RolloutState.ROLLED_BACK);
		assertThat(turns.isWriteDue(300, rollout, RolloutState.ROLLED_BACK)).isTrue();
	}

	@Test
	void stateStillDueIsWrittenAgainAfterTwoSeconds() {
		Rollout rollout = new Rollout(0, ORDER, 10);
		RolloutWriteSchedule turns = new RolloutWriteSchedule("node");
		turns.onWriteAnswered(0, rollout, RolloutState.RUNNING);
		assertThat(turns.isWriteDue(1000, rollout, RolloutState.RUNNING)).isFalse();
		assertThat(turns.isWriteDue(2000, rollout, RolloutState.RUNNING)).isTrue();
	}

}
