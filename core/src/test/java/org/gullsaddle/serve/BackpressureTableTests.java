package org.gullsaddle.serve;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.gullsaddle.base.Address;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

class BackpressureTableTests {

	private static final NodeId SELF = new NodeId("node");

	private static final ServiceName ENGINES = new ServiceName("engines");

	private static final long MINUTE_MILLIS = 60_000;

	private final Replica replica = replica(1);

	private Optional<List<Peer>> peers = Optional.of(List.of(new Peer(SELF, "a")));

	private final BackpressureTable table = new BackpressureTable(SELF, new NodeLocation("a", Map.of("a", "north")),
			() -> this.peers, new Random(1));

	private static Replica replica(long startedAt) {
		return new Replica(new ReplicaId("engine"), ENGINES, new Address("10.0.0.1", 80), "a", "v1", 8, false,
				startedAt);
	}

	private static Backpressure limit(double perSecond) {
		return Backpressure.ofLimit(new RateLimit.Limited(perSecond));
	}

	/**
	 * Counts the requests that may be sent in a minute, with an attempt every 10 ms.
	 */
	private int sentInAMinute() {
		int sent = 0;
		for (long now = 0; now < MINUTE_MILLIS; now += 10) {
			if (this.table.canSend(now, this.replica)) {
				assertThat(this.table.admit(now, this.replica)).isNotEqualTo(SendPermission.DENIED);
				sent++;
			}
		}
		return sent;
	}

	@Nested
	class WithARateLimit {

		@Test
		void replicaGetsItsLimitAndOccasionalProbes() {
			BackpressureTableTests.this.table.onAnswer(0, BackpressureTableTests.this.replica, limit(1.8));
			assertThat(sentInAMinute()).isBetween(100, 115);
		}

		/** Guards against a replica with a limit of 0 that is never probed again. */
		@Test
		void replicaWithALimitOfZeroIsProbed() {
			BackpressureTableTests.this.table.onAnswer(0, BackpressureTableTests.this.replica, limit(0));
			assertThat(sentInAMinute()).isBetween(5, 7);
		}

		/** Guards against nodes that start together and each use the whole limit. */
		@Test
		void nodeThatPeersMayNotKnowOnlyProbes() {
			BackpressureTableTests.this.peers = Optional.empty();
			BackpressureTableTests.this.table.onAnswer(0, BackpressureTableTests.this.replica, limit(50));
			assertThat(sentInAMinute()).isLessThanOrEqualTo(1);
		}

		@Test
		void newLimitReplacesTheOldOne() {
			BackpressureTable table = BackpressureTableTests.this.table;
			assertThat(table.onAnswer(0, BackpressureTableTests.this.replica, limit(5))).isTrue();
			assertThat(table.onAnswer(0, BackpressureTableTests.this.replica, limit(5))).isFalse();
			assertThat(table.onAnswer(0, BackpressureTableTests.this.replica, limit(0.5))).isTrue();
			assertThat(table.limit(BackpressureTableTests.this.replica)).isEqualTo(OptionalDouble.of(0.5));
		}

		/** Guards against an invalid value that removes a limit. */
		@Test
		void invalidLimitChangesNothing() {
			BackpressureTable table = BackpressureTableTests.this.table;
			table.onAnswer(0, BackpressureTableTests.this.replica, limit(5));
			assertThat(table.onAnswer(0, BackpressureTableTests.this.replica,
					Backpressure.ofLimit(new RateLimit.Invalid())))
				.isFalse();
			assertThat(table.limit(BackpressureTableTests.this.replica)).isEqualTo(OptionalDouble.of(5));
		}

		@Test
		void answerWithoutALimitRemovesIt() {
			BackpressureTable table = BackpressureTableTests.this.table;
			table.onAnswer(0, BackpressureTableTests.this.replica, limit(0));
			assertThat(table.onAnswer(0, BackpressureTableTests.this.replica, Backpressure.NONE)).isTrue();
			assertThat(table.admit(0, BackpressureTableTests.this.replica)).isEqualTo(SendPermission.UNLIMITED);
			assertThat(table.canAskForLoad(0, BackpressureTableTests.this.replica)).isTrue();
		}

		/**
		 * Guards against a new process that is bound by the limit of the one before it.
		 */
		@Test
		void itDoesNotApplyToANewProcessWithTheSameId() {
			BackpressureTableTests.this.table.onAnswer(0, BackpressureTableTests.this.replica, limit(0));
			assertThat(BackpressureTableTests.this.table.canSend(0, replica(2))).isTrue();
		}

		@Test
		void removedReplicaIsForgotten() {
			BackpressureTableTests.this.table.onAnswer(0, BackpressureTableTests.this.replica, limit(0));
			BackpressureTableTests.this.table.retain(Set.of());
			assertThat(BackpressureTableTests.this.table.countLimited()).isZero();
		}

		@Test
		void replicaIsNotAskedForItsLoad() {
			BackpressureTableTests.this.table.onAnswer(0, BackpressureTableTests.this.replica, limit(100));
			assertThat(BackpressureTableTests.this.table.canAskForLoad(0, BackpressureTableTests.this.replica))
				.isFalse();
		}

	}

	@Nested
	class WhileARequestWaitsForAConnection {

		/** Guards against requests that wait for a connection and bypass a new limit. */
		@Test
		void limitReceivedMeanwhileAppliesToIt() {
			BackpressureTable table = BackpressureTableTests.this.table;
			SendPermission before = table.admit(0, BackpressureTableTests.this.replica);
			table.onAnswer(0, BackpressureTableTests.this.replica, limit(0));
			long retryAfter = table.nextRetryAfterMillis(0, ENGINES, List.of(BackpressureTableTests.this.replica));
			assertThat(table.canStillSend(retryAfter + 1000, BackpressureTableTests.this.replica, before)).isFalse();
		}

		@Test
		void requestIsCountedAgainstTheLimitOnce() {
			BackpressureTable table = BackpressureTableTests.this.table;
			table.onAnswer(0, BackpressureTableTests.this.replica, limit(0.5));
			long next = table.nextRetryAfterMillis(0, ENGINES, List.of(BackpressureTableTests.this.replica));
			SendPermission admission = table.admit(next, BackpressureTableTests.this.replica);
			assertThat(admission).isEqualTo(SendPermission.COUNTED);
			assertThat(table.canStillSend(next, BackpressureTableTests.this.replica, admission)).isTrue();
		}

	}

	@Nested
	class WhereAllReplicasAreLimited {

		/** Guards against callers that all get the same retry-after time. */
		@Test
		void retryAfterTimesAreSpacedByTheLimit() {
			BackpressureTable table = BackpressureTableTests.this.table;
			table.onAnswer(0, BackpressureTableTests.this.replica, limit(2));
			long first = table.nextRetryAfterMillis(0, ENGINES, List.of(BackpressureTableTests.this.replica));
			assertThat(table.nextRetryAfterMillis(0, ENGINES, List.of(BackpressureTableTests.this.replica)))
				.isEqualTo(first + 500);
			assertThat(table.nextRetryAfterMillis(0, ENGINES, List.of(BackpressureTableTests.this.replica)))
				.isEqualTo(first + 1000);
		}

		@Test
		void retryAfterTimeIsTenSecondsAtMost() {
			BackpressureTable table = BackpressureTableTests.this.table;
			table.onAnswer(0, BackpressureTableTests.this.replica, limit(0.01));
			for (int i = 0; i < 100; i++) {
				assertThat(table.nextRetryAfterMillis(0, ENGINES, List.of(BackpressureTableTests.this.replica)))
					.isLessThanOrEqualTo(10_000);
			}
		}

	}

	@Nested
	class InABackOff {

		private static Backpressure backOff(long millis) {
			return new Backpressure(new RateLimit.Unlimited(), millis);
		}

		private boolean canSend(long now) {
			return BackpressureTableTests.this.table.canSend(now, BackpressureTableTests.this.replica);
		}

		private void onAnswer(long now, Backpressure asked) {
			BackpressureTableTests.this.table.onAnswer(now, BackpressureTableTests.this.replica, asked);
		}

		@Test
		void replicaGetsNothingUntilItEnds() {
			onAnswer(0, backOff(3000));
			assertThat(canSend(2999)).isFalse();
			assertThat(BackpressureTableTests.this.table.canAskForLoad(2999, BackpressureTableTests.this.replica))
				.isFalse();
			assertThat(canSend(3000)).isTrue();
			assertThat(BackpressureTableTests.this.table.canAskForLoad(3000, BackpressureTableTests.this.replica))
				.isTrue();
		}

		/**
		 * Guards against a back-off that is cut short by an answer to an earlier request.
		 */
		@Test
		void neitherAShorterBackOffNorAnAnswerWithoutOneEndsIt() {
			onAnswer(0, backOff(3000));
			onAnswer(100, backOff(200));
			onAnswer(200, Backpressure.NONE);
			assertThat(canSend(2999)).isFalse();
		}

		/** Guards against a replica that is excluded for days by one wrong answer. */
		@Test
		void itLastsFiveMinutesAtMost() {
			onAnswer(0, backOff(Long.MAX_VALUE));
			assertThat(canSend(299_999)).isFalse();
			assertThat(canSend(300_000)).isTrue();
		}

		/** Guards against requests that wait for a connection and ignore the back-off. */
		@Test
		void requestThatWaitsForAConnectionIsNotSent() {
			BackpressureTable table = BackpressureTableTests.this.table;
			SendPermission free = table.admit(0, BackpressureTableTests.this.replica);
			onAnswer(10, new Backpressure(new RateLimit.Limited(50), 0));
			SendPermission counted = table.admit(1000, BackpressureTableTests.this.replica);
			onAnswer(1010, new Backpressure(new RateLimit.Limited(50), 3000));
			assertThat(counted).isEqualTo(SendPermission.COUNTED);
			assertThat(table.canStillSend(1020, BackpressureTableTests.this.replica, free)).isFalse();
			assertThat(table.canStillSend(1020, BackpressureTableTests.this.replica, counted)).isFalse();
		}

		@Test
		void itDoesNotApplyToANewProcessWithTheSameId() {
			onAnswer(0, backOff(3000));
			assertThat(BackpressureTableTests.this.table.canSend(1, replica(2))).isTrue();
		}

		/** Guards against a retry-after time that is longer than the back-off. */
		@Test
		void retryAfterTimeIsItsEnd() {
			onAnswer(0, backOff(3000));
			assertThat(BackpressureTableTests.this.table.nextRetryAfterMillis(1000, ENGINES,
					List.of(BackpressureTableTests.this.replica)))
				.isEqualTo(2000);
		}

	}

}
