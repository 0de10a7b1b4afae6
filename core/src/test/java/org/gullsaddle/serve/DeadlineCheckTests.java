package org.gullsaddle.serve;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.gullsaddle.base.Address;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

class DeadlineCheckTests {

	private static final ServiceName SERVICE = new ServiceName("engines");

	private static final long REMAINING_MILLIS = 2000;

	private static final ReplicaChoice TOO_LATE = choice(40, 9000, 1500);

	private final DeadlineCheck check = new DeadlineCheck();

	private static ReplicaChoice choice(double requests, double expected, double deviation) {
		Replica replica = new Replica(new ReplicaId("r"), SERVICE, new Address("10.0.0.1", 80), "a", "v1", 64, false,
				1);
		return new ReplicaChoice(replica, new EngineLoad(1000, 0, requests, false),
				new DelayEstimate(expected, deviation), 10, Slowdown.NONE, 1);
	}

	private void answers(int count) {
		for (int i = 0; i < count; i++) {
			this.check.recordAnswerStarted(0, SERVICE);
		}
	}

	/** Asks twice, because the first request in an interval is always let through. */
	private boolean shouldRefuse(List<ReplicaChoice> choices) {
		return this.check.shouldRefuse(0, SERVICE, choices, REMAINING_MILLIS)
				|| this.check.shouldRefuse(1, SERVICE, choices, REMAINING_MILLIS);
	}

	@Test
	void requestThatIsTooLateOnAllReplicasIsRefused() {
		answers(100);
		assertThat(shouldRefuse(List.of(TOO_LATE, TOO_LATE))).isTrue();
	}

	/** Guards against refusals by a node that has just started. */
	@Test
	void nodeThatHasSeenFewAnswersRefusesNothing() {
		answers(10);
		assertThat(shouldRefuse(List.of(TOO_LATE))).isFalse();
	}

	/** Guards against refusals of requests that another region could still run. */
	@Test
	void requestThatMayStartOnOneReplicaIsNotRefused() {
		answers(100);
		assertThat(shouldRefuse(List.of(TOO_LATE, choice(40, 3000, 1500)))).isFalse();
	}

	/** Guards against refusals of long prompts where the replica is idle. */
	@Test
	void idleReplicaIsAlwaysTried() {
		answers(100);
		assertThat(shouldRefuse(List.of(choice(0, 9000, 1500)))).isFalse();
	}

	@Test
	void missedObjectiveIsNoReasonToRefuse() {
		answers(100);
		assertThat(shouldRefuse(List.of(choice(40, 1900, 100)))).isFalse();
	}

	/**
	 * Guards against a node that refuses all requests and so never learns of free
	 * capacity.
	 */
	@Test
	void oneRequestIsTriedEvery500Millis() {
		answers(100);
		int tried = 0;
		for (long now = 0; now < 5000; now += 10) {
			tried += this.check.shouldRefuse(now, SERVICE, List.of(TOO_LATE), REMAINING_MILLIS) ? 0 : 1;
		}
		assertThat(tried).isEqualTo(10);
	}

	/** Guards against decisions on outdated delays after a failure. */
	@Test
	void nothingIsRefusedOnceAnswersAreTenSecondsOld() {
		answers(100);
		assertThat(this.check.shouldRefuse(11_000, SERVICE, List.of(TOO_LATE), REMAINING_MILLIS)).isFalse();
		assertThat(this.check.shouldRefuse(11_001, SERVICE, List.of(TOO_LATE), REMAINING_MILLIS)).isFalse();
	}

}
