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

	private final BackpressureTable book = new BackpressureTable(SELF, new Place("a", Map.of("a", "north")),
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
			if (this.book.canSend(now, this.replica)) {
				assertThat(this.book.admit(now, this.replica)).isNotEqualTo(SendPermission.DENIED);
				sent++;
			}
		}
		return sent;
	}

	@Nested
	class WhereAReplicaNamesALimit {

		@Test
		void itIsGivenAsMuchAsItNamesAndATurnNowAndThen() {
			BackpressureTableTests.this.book.onAnswer(0, BackpressureTableTests.this.replica, limit(1.8));
			assertThat(sentInAMinute()).isBetween(100, 115);
		}

		/** Guards against a replica with a limit of 0 that is never probed again. */
		@Test
		void oneThatTakesNothingGetsARequestNowAndThen() {
			BackpressureTableTests.this.book.onAnswer(0, BackpressureTableTests.this.replica, limit(0));
			assertThat(sentInAMinute()).isBetween(5, 7);
		}

		/** Guards against nodes that start together and each use the whole limit. */
		@Test
		void nodeThatTheOthersMayNotKnowHasOnlyItsTurns() {
			BackpressureTableTests.this.peers = Optional.empty();
			BackpressureTableTests.this.book.onAnswer(0, BackpressureTableTests.this.replica, limit(50));
			assertThat(sentInAMinute()).isLessThanOrEqualTo(1);
		}

		@Test
		void itsNextLimitReplacesTheOneBefore() {
			BackpressureTable book = BackpressureTableTests.this.book;
			assertThat(book.onAnswer(0, BackpressureTableTests.this.replica, limit(5))).isTrue();
			assertThat(book.onAnswer(0, BackpressureTableTests.this.replica, limit(5))).isFalse();
			assertThat(book.onAnswer(0, BackpressureTableTests.this.replica, limit(0.5))).isTrue();
			assertThat(book.limit(BackpressureTableTests.this.replica)).isEqualTo(OptionalDouble.of(0.5));
		}

		/** Guards against an invalid value that removes a limit. */
		@Test
		void oneThatCannotBeReadChangesNothing() {
			BackpressureTable book = BackpressureTableTests.this.book;
			book.onAnswer(0, BackpressureTableTests.this.replica, limit(5));
			assertThat(book.onAnswer(0, BackpressureTableTests.this.replica,
					Backpressure.ofLimit(new RateLimit.Invalid())))
				.isFalse();
			assertThat(book.limit(BackpressureTableTests.this.replica)).isEqualTo(OptionalDouble.of(5));
		}

		@Test
		void answerWithoutOneLiftsIt() {
			BackpressureTable book = BackpressureTableTests.this.book;
			book.onAnswer(0, BackpressureTableTests.this.replica, limit(0));
			assertThat(book.onAnswer(0, BackpressureTableTests.this.replica, Backpressure.NONE)).isTrue();
			assertThat(book.admit(0, BackpressureTableTests.this.replica)).isEqualTo(SendPermission.UNLIMITED);
			assertThat(book.canAskForLoad(0, BackpressureTableTests.this.replica)).isTrue();
		}

		/**
		 * Guards against a new process that is bound by the limit of the one before it.
		 */
		@Test
		void anotherProcessUnderItsIdIsFree() {
			BackpressureTableTests.this.book.onAnswer(0, BackpressureTableTests.this.replica, limit(0));
			assertThat(BackpressureTableTests.this.book.canSend(0, replica(2))).isTrue();
		}

		@Test
		void oneThatIsGoneIsForgotten() {
			BackpressureTableTests.this.book.onAnswer(0, BackpressureTableTests.this.replica, limit(0));
			BackpressureTableTests.this.book.retain(Set.of());
			assertThat(BackpressureTableTests.this.book.countLimited()).isZero();
		}

		@Test
		void itIsNotAskedForItsLoad() {
			BackpressureTableTests.this.book.onAnswer(0, BackpressureTableTests.this.replica, limit(100));
			assertThat(BackpressureTableTests.this.book.canAskForLoad(0, BackpressureTableTests.this.replica))
				.isFalse();
		}

	}

	@Nested
	class WhileARequestWaitsForAConnection {

		/** Guards against requests that wait for a connection and bypass a new limit. */
		@Test
		void limitNamedMeanwhileHoldsForIt() {
			BackpressureTable book = BackpressureTableTests.this.book;
			SendPermission before = book.admit(0, BackpressureTableTests.this.replica);
			book.onAnswer(0, BackpressureTableTests.this.replica, limit(0));
			long turn = book.nextRetryAfterMillis(0, ENGINES, List.of(BackpressureTableTests.this.replica));
			assertThat(book.canStillSend(turn + 1000, BackpressureTableTests.this.replica, before)).isFalse();
		}

		@Test
		void partOfTheLimitIsCountedOnce() {
			BackpressureTable book = BackpressureTableTests.this.book;
			book.onAnswer(0, BackpressureTableTests.this.replica, limit(0.5));
			long next = book.nextRetryAfterMillis(0, ENGINES, List.of(BackpressureTableTests.this.replica));
			SendPermission admission = book.admit(next, BackpressureTableTests.this.replica);
			assertThat(admission).isEqualTo(SendPermission.COUNTED);
			assertThat(book.canStillSend(next, BackpressureTableTests.this.replica, admission)).isTrue();
		}

	}

	@Nested
	class WhereAllReplicasAreLimited {

		/** Guards against callers that all get the same retry-after time. */
		@Test
		void callersAreToldTimesAsFarApartAsTheRequestsThatMayBeSent() {
			BackpressureTable book = BackpressureTableTests.this.book;
			book.onAnswer(0, BackpressureTableTests.this.replica, limit(2));
			long first = book.nextRetryAfterMillis(0, ENGINES, List.of(BackpressureTableTests.this.replica));
			assertThat(book.nextRetryAfterMillis(0, ENGINES, List.of(BackpressureTableTests.this.replica)))
				.isEqualTo(first + 500);
			assertThat(book.nextRetryAfterMillis(0, ENGINES, List.of(BackpressureTableTests.this.replica)))
				.isEqualTo(first + 1000);
		}

		@Test
		void noCallerIsSentAwayForLong() {
			BackpressureTable book = BackpressureTableTests.this.book;
			book.onAnswer(0, BackpressureTableTests.this.replica, limit(0.01));
			for (int i = 0; i < 100; i++) {
				assertThat(book.nextRetryAfterMillis(0, ENGINES, List.of(BackpressureTableTests.this.replica)))
					.isLessThanOrEqualTo(10_000);
			}
		}

	}

	@Nested
	class WhereAReplicaAsksForRest {

		private static Backpressure rest(long millis) {
			return new Backpressure(new RateLimit.Unlimited(), millis);
		}

		private boolean takes(long now) {
			return BackpressureTableTests.this.book.canSend(now, BackpressureTableTests.this.replica);
		}

		private void heard(long now, Backpressure asked) {
			BackpressureTableTests.this.book.onAnswer(now, BackpressureTableTests.this.replica, asked);
		}

		@Test
		void itGetsNothingUntilThatTimeIsOver() {
			heard(0, rest(3000));
			assertThat(takes(2999)).isFalse();
			assertThat(BackpressureTableTests.this.book.canAskForLoad(2999, BackpressureTableTests.this.replica))
				.isFalse();
			assertThat(takes(3000)).isTrue();
			assertThat(BackpressureTableTests.this.book.canAskForLoad(3000, BackpressureTableTests.this.replica))
				.isTrue();
		}

		/**
		 * Guards against a back-off that is cut short by an answer to an earlier request.
		 */
		@Test
		void neitherAShorterRestNorAnAnswerWithoutOneEndsIt() {
			heard(0, rest(3000));
			heard(100, rest(200));
			heard(200, Backpressure.NONE);
			assertThat(takes(2999)).isFalse();
		}

		/** Guards against a replica that is excluded for days by one wrong answer. */
		@Test
		void noOneRestLastsLongerThanFiveMinutes() {
			heard(0, rest(Long.MAX_VALUE));
			assertThat(takes(299_999)).isFalse();
			assertThat(takes(300_000)).isTrue();
		}

		/** Guards against requests that wait for a connection and ignore the back-off. */
		@Test
		void requestThatWaitsForAConnectionIsNotSent() {
			BackpressureTable book = BackpressureTableTests.this.book;
			SendPermission free = book.admit(0, BackpressureTableTests.this.replica);
			heard(10, new Backpressure(new RateLimit.Limited(50), 0));
			SendPermission counted = book.admit(1000, BackpressureTableTests.this.replica);
			heard(1010, new Backpressure(new RateLimit.Limited(50), 3000));
			assertThat(counted).isEqualTo(SendPermission.COUNTED);
			assertThat(book.canStillSend(1020, BackpressureTableTests.this.replica, free)).isFalse();
			assertThat(book.canStillSend(1020, BackpressureTableTests.this.replica, counted)).isFalse();
		}

		@Test
		void anotherProcessUnderItsIdNeedsNone() {
			heard(0, rest(3000));
			assertThat(BackpressureTableTests.this.book.canSend(1, replica(2))).isTrue();
		}

		/** Guards against a retry-after time that is longer than the back-off. */
		@Test
		void callersAreToldToComeBackWhenItIsOver() {
			heard(0, rest(3000));
			assertThat(BackpressureTableTests.this.book.nextRetryAfterMillis(1000, ENGINES,
					List.of(BackpressureTableTests.this.replica)))
				.isEqualTo(2000);
		}

	}

}
