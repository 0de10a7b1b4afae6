package org.gullsaddle.serve;

import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.gullsaddle.fleet.ReplicaId;

import static org.assertj.core.api.Assertions.assertThat;

class SilentReplicaPolicyTests {

	private static final ReplicaId ENGINE = new ReplicaId("engine");

	private static final long PATIENCE = 2000;

	/** Long enough before the end of a patience that nothing is asked yet. */
	private static final long EARLY = 1500;

	private static final EngineReport QUEUE = new EngineReport(64, 20, 30);

	private static final EngineReport NO_QUEUE = new EngineReport(8, 0, 0);

	private final SilentReplicaPolicy patience = new SilentReplicaPolicy();

	private SilentReplicaPolicy.Action at(long now) {
		return this.patience.decideAction(now, ENGINE, 0, PATIENCE);
	}

	@Test
	void nothingIsAskedWithinARequestsPatience() {
		assertThat(at(EARLY)).isEqualTo(SilentReplicaPolicy.Action.WAIT);
		assertThat(at(PATIENCE)).isEqualTo(SilentReplicaPolicy.Action.QUERY_LOAD);
	}

	/** Guards against a question for each of the requests that wait at one engine. */
	@Test
	void oneQuestionServesAllRequestsAtAReplica() {
		this.patience.onLoadQuery(ENGINE);
		assertThat(at(PATIENCE)).isEqualTo(SilentReplicaPolicy.Action.WAIT);
		assertThat(at(2 * PATIENCE)).isEqualTo(SilentReplicaPolicy.Action.WAIT);
	}

	/** Guards against a request that waits for ever as its replica has lost it. */
	@Test
	void replicaWithoutAQueueIsLeftThoughItIsAlive() {
		this.patience.onLoadReport(PATIENCE, ENGINE, NO_QUEUE);
		assertThat(at(PATIENCE + 1)).isEqualTo(SilentReplicaPolicy.Action.LEAVE);
	}

	@Test
	void onlyAReplicaThatBeginsClearlySoonerIsWorthThePlaceInTheQueue() {
		DelayEstimate here = new DelayEstimate(2000, 500);
		assertThat(SilentReplicaPolicy.isClearlySooner(here, new DelayEstimate(900, 200))).isFalse();
		assertThat(SilentReplicaPolicy.isClearlySooner(here, new DelayEstimate(700, 200))).isTrue();
	}

	@Nested
	class OfAReplicaWithAQueue {

		@BeforeEach
		void told() {
			SilentReplicaPolicyTests.this.patience.onLoadReport(PATIENCE, ENGINE, QUEUE);
		}

		/** Guards against requests that lose their places in a queue as it is silent. */
		@Test
		void keepsTheRequest() {
			assertThat(at(PATIENCE + 1)).isEqualTo(SilentReplicaPolicy.Action.STAY);
			assertThat(at(PATIENCE + EARLY)).isEqualTo(SilentReplicaPolicy.Action.STAY);
		}

		@Test
		void isAskedAgainAPatienceLater() {
			assertThat(at(2 * PATIENCE)).isEqualTo(SilentReplicaPolicy.Action.QUERY_LOAD);
		}

		@Test
		void isAskedAtMostOnceASecondHoweverShortThePatience() {
			long now = PATIENCE;
			assertThat(SilentReplicaPolicyTests.this.patience.decideAction(now + 999, ENGINE, now, 100))
				.isEqualTo(SilentReplicaPolicy.Action.STAY);
			assertThat(SilentReplicaPolicyTests.this.patience.decideAction(now + 1000, ENGINE, now, 100))
				.isEqualTo(SilentReplicaPolicy.Action.QUERY_LOAD);
		}

		@Test
		void isForgottenWhenItIsGone() {
			SilentReplicaPolicyTests.this.patience.retain(Set.of());
			assertThat(at(PATIENCE)).isEqualTo(SilentReplicaPolicy.Action.QUERY_LOAD);
		}

	}

	@Nested
	class OfAReplicaThatIsDark {

		/** Guards against requests that wait longer for dark replicas than for others. */
		@Test
		void isLeftAsSoonAsThePatienceIsOver() {
			assertThat(at(PATIENCE - 150)).isEqualTo(SilentReplicaPolicy.Action.QUERY_LOAD);
			SilentReplicaPolicyTests.this.patience.onLoadQuery(ENGINE);
			SilentReplicaPolicyTests.this.patience.onNoLoadReport(PATIENCE - 20, ENGINE);
			assertThat(at(PATIENCE - 10)).isEqualTo(SilentReplicaPolicy.Action.WAIT);
			assertThat(at(PATIENCE + 1)).isEqualTo(SilentReplicaPolicy.Action.LEAVE);
		}

		@Test
		void isAskedAgainOnceItHasBeenHeard() {
			SilentReplicaPolicyTests.this.patience.onNoLoadReport(0, ENGINE);
			assertThat(SilentReplicaPolicyTests.this.patience.decideAction(900, ENGINE, 50, 800))
				.isEqualTo(SilentReplicaPolicy.Action.WAIT);
			assertThat(SilentReplicaPolicyTests.this.patience.decideAction(1000, ENGINE, 50, 800))
				.isEqualTo(SilentReplicaPolicy.Action.QUERY_LOAD);
		}

	}

}
