package org.gullsaddle.serve;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.gullsaddle.base.Address;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

class HopelessTests {

	private static final ServiceName SERVICE = new ServiceName("engines");

	private static final long LEFT = 2000;

	private static final ReplicaChoice LOST = choice(40, 9000, 1500);

	private final Hopeless hopeless = new Hopeless();

	private static ReplicaChoice choice(double requests, double expected, double deviation) {
		Replica replica = new Replica(new ReplicaId("r"), SERVICE, new Address("10.0.0.1", 80), "a", "v1", 64, false,
				1);
		return new ReplicaChoice(replica, new EngineLoad(1000, 0, requests, false),
				new DelayEstimate(expected, deviation), 10, Slowdown.NONE, 1);
	}

	private void answers(int count) {
		for (int i = 0; i < count; i++) {
			this.hopeless.began(0, SERVICE);
		}
	}

	/** Asks twice, as the first of a time is tried whatever is known. */
	private boolean refuses(List<ReplicaChoice> choices) {
		return this.hopeless.refuses(0, SERVICE, choices, LEFT) || this.hopeless.refuses(1, SERVICE, choices, LEFT);
	}

	@Test
	void whatWouldBeginNowhereInItsTimeIsRefused() {
		answers(100);
		assertThat(refuses(List.of(LOST, LOST))).isTrue();
	}

	/** Guards against refusals on the word of a node that has just started. */
	@Test
	void nodeThatHasSeenFewAnswersRefusesNothing() {
		answers(10);
		assertThat(refuses(List.of(LOST))).isFalse();
	}

	/** Guards against refusals of what another region could still run. */
	@Test
	void oneReplicaAnywhereThatMayBeginIsEnough() {
		answers(100);
		assertThat(refuses(List.of(LOST, choice(40, 3000, 1500)))).isFalse();
	}

	/** Guards against refusals of long prompts where nothing is before them. */
	@Test
	void replicaWithNothingToDoIsAlwaysTried() {
		answers(100);
		assertThat(refuses(List.of(choice(0, 9000, 1500)))).isFalse();
	}

	@Test
	void missedObjectiveIsNoReason() {
		answers(100);
		assertThat(refuses(List.of(choice(40, 1900, 100)))).isFalse();
	}

	/** Guards against a node that refuses all and so never hears of room again. */
	@Test
	void oneIsTriedFromTimeToTime() {
		answers(100);
		int tried = 0;
		for (long now = 0; now < 5000; now += 10) {
			tried += this.hopeless.refuses(now, SERVICE, List.of(LOST), LEFT) ? 0 : 1;
		}
		assertThat(tried).isEqualTo(10);
	}

	/** Guards against knowledge of before a failure that nothing has renewed. */
	@Test
	void itIsForgottenWhereNothingAnswers() {
		answers(100);
		assertThat(this.hopeless.refuses(11_000, SERVICE, List.of(LOST), LEFT)).isFalse();
		assertThat(this.hopeless.refuses(11_001, SERVICE, List.of(LOST), LEFT)).isFalse();
	}

}
