package org.gullsaddle.serve;

import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;

import org.junit.jupiter.api.Test;

import org.gullsaddle.base.Address;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.RolloutOrder;
import org.gullsaddle.fleet.RolloutState;
import org.gullsaddle.fleet.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Roll-outs whose final state is written.
 */
class RolloutEndTests {

	private static final ServiceName SERVICE = new ServiceName("desk");

	private static final long DURATION = 24_000;

	private static final Replica OLD = replica("old", "v1");

	private static final Replica NEW = replica("new", "v2");

	private final Rollout rollout = rollout();

	private static Replica replica(String id, String release) {
		return new Replica(new ReplicaId(id), SERVICE, new Address("10.0.0.1", 80), "a", release, 8, false, 1);
	}

	private static Rollout rollout() {
		return new Rollout(0, new RolloutOrder(SERVICE, "v2", DURATION), 10);
	}

	private static void answer(Rollout rollout, boolean failed) {
		for (int i = 0; i < 100; i++) {
			rollout.onAnswerStarted(NEW, new AnswerKind("read", ""), failed, 20 * i, 20, OptionalDouble.empty());
		}
	}

	private List<Replica> choose(long now, List<Replica> listed) {
		return this.rollout.chooseReplicas(now, listed, new ReleaseKey("r", false), Set.of(), 1);
	}

	/**
	 * Guards against a service that is refused for good: its release is completed, the
	 * old replicas have stopped, and the new ones fail some requests for a while.
	 */
	@Test
	void completedReleaseIsUsedWhateverItAnswers() {
		this.rollout.onStateRead(RolloutState.COMPLETED, "v2", 11);
		answer(this.rollout, true);
		assertThat(choose(DURATION, List.of(NEW))).containsExactly(NEW);
	}

	/**
	 * Guards against the same by a node that found the release bad by itself, before it
	 * read that the others had completed it.
	 */
	@Test
	void completedReleaseIsUsedByANodeThatFoundItBad() {
		this.rollout.onStateRead(RolloutState.RUNNING, "v2", 11);
		answer(this.rollout, true);
		assertThat(choose(DURATION / 2, List.of(OLD, NEW))).containsExactly(OLD);
		this.rollout.onStateRead(RolloutState.COMPLETED, "v2", 12);
		assertThat(choose(DURATION, List.of(NEW))).containsExactly(NEW);
	}

	/** Guards against the same by a peer's note that arrives after the end. */
	@Test
	void completedReleaseIsUsedWhateverAPeerReports() {
		Rollout peer = rollout();
		answer(peer, true);
		this.rollout.onStateRead(RolloutState.COMPLETED, "v2", 11);
		this.rollout.onNote(DURATION, peer.note(DURATION, "peer"));
		assertThat(choose(DURATION, List.of(NEW))).containsExactly(NEW);
	}

	/** Guards against a bad release that is used again because it answers well. */
	@Test
	void releaseThatWasTakenBackIsNotUsedWhateverItAnswers() {
		this.rollout.onStateRead(RolloutState.ROLLED_BACK, "v2", 11);
		answer(this.rollout, false);
		assertThat(choose(DURATION, List.of(OLD, NEW))).containsExactly(OLD);
	}

}
