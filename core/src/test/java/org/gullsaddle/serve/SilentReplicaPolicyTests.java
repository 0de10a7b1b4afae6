package org.gullsaddle.serve;

import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.gullsaddle.fleet.ReplicaId;

import static org.assertj.core.api.Assertions.assertThat;

class SilentReplicaPolicyTests {

	private static final ReplicaId ENGINE = new ReplicaId("engine");

	private static final long PATIENCE_MILLIS = 2000;

	/** Before this time in a patience of two seconds, no query is sent. */
	private static final long EARLY_MILLIS = 1500;

	private static final EngineReport QUEUE = new EngineReport(64, 20, 30);

	private static final EngineReport NO_QUEUE = new EngineReport(8, 0, 0);

	private final SilentReplicaPolicy policy = new SilentReplicaPolicy();

	private SilentReplicaPolicy.Action decideAt(long now) {
		return this.policy.decideAction(now, ENGINE, 0, PATIENCE_MILLIS);
	}

	@Test
	void loadIsQueriedOnlyNearTheEndOfPatience() {
		assertThat(decideAt(EARLY_MILLIS)).isEqualTo(SilentReplicaPolicy.Action.WAIT);
		assertThat(decideAt(PATIENCE_MILLIS)).isEqualTo(SilentReplicaPolicy.Action.QUERY_LOAD);
	}

	/** Guards against a query for each of the requests that wait at one engine. */
	@Test
	void oneQueryServesAllRequestsAtAReplica() {
		this.policy.onLoadQuery(ENGINE);
		assertThat(decideAt(PATIENCE_MILLIS)).isEqualTo(SilentReplicaPolicy.Action.WAIT);
		assertThat(decideAt(2 * PATIENCE_MILLIS)).isEqualTo(SilentReplicaPolicy.Action.WAIT);
	}

	/** Guards against a request that waits forever because its replica has lost it. */
	@Test
	void replicaWithoutAQueueIsLeftThoughItIsAlive() {
		this.policy.onLoadReport(PATIENCE_MILLIS, ENGINE, NO_QUEUE);
		assertThat(decideAt(PATIENCE_MILLIS + 1)).isEqualTo(SilentReplicaPolicy.Action.LEAVE);
	}

	@Test
	void requestMovesOnlyIfItWouldStartClearlySooner() {
		DelayEstimate current = new DelayEstimate(2000, 500);
		assertThat(SilentReplicaPolicy.isClearlySooner(current, new DelayEstimate(900, 200))).isFalse();
		assertThat(SilentReplicaPolicy.isClearlySooner(current, new DelayEstimate(700, 200))).isTrue();
	}

	@Nested
	class ReplicaWithAQueue {

		@BeforeEach
		void reportQueue() {
			SilentReplicaPolicyTests.this.policy.onLoadReport(PATIENCE_MILLIS, ENGINE, QUEUE);
		}

		/**
		 * Guards against requests that lose their places in a queue because it is silent.
		 */
		@Test
		void keepsTheRequest() {
			assertThat(decideAt(PATIENCE_MILLIS + 1)).isEqualTo(SilentReplicaPolicy.Action.STAY);
			assertThat(decideAt(PATIENCE_MILLIS + EARLY_MILLIS)).isEqualTo(SilentReplicaPolicy.Action.STAY);
		}

		@Test
		void isQueriedAgainAfterAnotherPatience() {
			assertThat(decideAt(2 * PATIENCE_MILLIS)).isEqualTo(SilentReplicaPolicy.Action.QUERY_LOAD);
		}

		@Test
		void isQueriedAtMostOnceASecondHoweverShortThePatience() {
			long now = PATIENCE_MILLIS;
			assertThat(SilentReplicaPolicyTests.this.policy.decideAction(now + 999, ENGINE, now, 100))
				.isEqualTo(SilentReplicaPolicy.Action.STAY);
			assertThat(SilentReplicaPolicyTests.this.policy.decideAction(now + 1000, ENGINE, now, 100))
				.isEqualTo(SilentReplicaPolicy.Action.QUERY_LOAD);
		}

		@Test
		void isForgottenWhenItIsGone() {
			SilentReplicaPolicyTests.this.policy.retain(Set.of());
			assertThat(decideAt(PATIENCE_MILLIS)).isEqualTo(SilentReplicaPolicy.Action.QUERY_LOAD);
		}

	}

	@Nested
	class UnresponsiveReplica {

		/**
		 * Guards against requests that wait longer for failed replicas than for others.
		 */
		@Test
		void isLeftWhenPatienceEnds() {
			assertThat(decideAt(PATIENCE_MILLIS - 150)).isEqualTo(SilentReplicaPolicy.Action.QUERY_LOAD);
			SilentReplicaPolicyTests.this.policy.onLoadQuery(ENGINE);
			SilentReplicaPolicyTests.this.policy.onNoLoadReport(PATIENCE_MILLIS - 20, ENGINE);
			assertThat(decideAt(PATIENCE_MILLIS - 10)).isEqualTo(SilentReplicaPolicy.Action.WAIT);
			assertThat(decideAt(PATIENCE_MILLIS + 1)).isEqualTo(SilentReplicaPolicy.Action.LEAVE);
		}

		@Test
		void isQueriedAgainAfterItSentBytes() {
			SilentReplicaPolicyTests.this.policy.onNoLoadReport(0, ENGINE);
			assertThat(SilentReplicaPolicyTests.this.policy.decideAction(900, ENGINE, 50, 800))
				.isEqualTo(SilentReplicaPolicy.Action.WAIT);
			assertThat(SilentReplicaPolicyTests.this.policy.decideAction(1000, ENGINE, 50, 800))
				.isEqualTo(SilentReplicaPolicy.Action.QUERY_LOAD);
		}

	}

}
