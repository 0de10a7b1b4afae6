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

class BackpressureBookTests {

	private static final NodeId SELF = new NodeId("node");

	private static final ServiceName ENGINES = new ServiceName("engines");

	private static final long MINUTE_MILLIS = 60_000;

	private final Replica replica = replica(1);

	private Optional<List<Peer>> peers = Optional.of(List.of(new Peer(SELF, "a")));

	private final BackpressureBook book = new BackpressureBook(SELF, new NodeLocation("a", Map.of("a", "north")),
			() -> this.peers, new Random(1));

	private static Replica replica(long startedAt) {
		return new Replica(new ReplicaId("engine"), ENGINES, new Address("10.0.0.1", 80), "a", "v1", 8, false,
				startedAt);
	}

	private static Backpressure limit(double perSecond) {
		return Backpressure.of(new RateLimit.Named(perSecond));
	}

	/**
	 * Counts the requests that may be sent in a minute, asked for every 10 ms.
	 */
	private int sentInAMinute() {
		int sent = 0;
		for (long now = 0; now < MINUTE_MILLIS; now += 10) {
			if (this.book.takes(now, this.replica)) {
				assertThat(this.book.admit(now, this.replica)).isNotEqualTo(Admission.DENIED);
				sent++;
			}
		}
		return sent;
	}

	@Nested
	class WhereAReplicaNamesALimit {

		@Test
		void itIsGivenAsMuchAsItNamesAndATurnNowAndThen() {
			BackpressureBookTests.this.book.heard(0, BackpressureBookTests.this.replica, limit(1.8));
			assertThat(sentInAMinute()).isBetween(100, 115);
		}

		/** Guards against a replica that takes nothing now and is never asked again. */
		@Test
		void oneThatTakesNothingGetsARequestNowAndThen() {
			BackpressureBookTests.this.book.heard(0, BackpressureBookTests.this.replica, limit(0));
			assertThat(sentInAMinute()).isBetween(5, 7);
		}

		/** Guards against nodes that each take the whole limit as they start together. */
		@Test
		void nodeThatTheOthersMayNotKnowHasOnlyItsTurns() {
			BackpressureBookTests.this.peers = Optional.empty();
			BackpressureBookTests.this.book.heard(0, BackpressureBookTests.this.replica, limit(50));
			assertThat(sentInAMinute()).isLessThanOrEqualTo(1);
		}

		@Test
		void itsNextLimitReplacesTheOneBefore() {
			BackpressureBook book = BackpressureBookTests.this.book;
			assertThat(book.heard(0, BackpressureBookTests.this.replica, limit(5))).isTrue();
			assertThat(book.heard(0, BackpressureBookTests.this.replica, limit(5))).isFalse();
			assertThat(book.heard(0, BackpressureBookTests.this.replica, limit(0.5))).isTrue();
			assertThat(book.limit(BackpressureBookTests.this.replica)).isEqualTo(OptionalDouble.of(0.5));
		}

		/** Guards against a value that cannot be read and lifts a limit. */
		@Test
		void oneThatCannotBeReadChangesNothing() {
			BackpressureBook book = BackpressureBookTests.this.book;
			book.heard(0, BackpressureBookTests.this.replica, limit(5));
			assertThat(book.heard(0, BackpressureBookTests.this.replica, Backpressure.of(new RateLimit.Unreadable())))
				.isFalse();
			assertThat(book.limit(BackpressureBookTests.this.replica)).isEqualTo(OptionalDouble.of(5));
		}

		@Test
		void answerWithoutOneLiftsIt() {
			BackpressureBook book = BackpressureBookTests.this.book;
			book.heard(0, BackpressureBookTests.this.replica, limit(0));
			assertThat(book.heard(0, BackpressureBookTests.this.replica, Backpressure.NONE)).isTrue();
			assertThat(book.admit(0, BackpressureBookTests.this.replica)).isEqualTo(Admission.FREE);
			assertThat(book.mayAsk(0, BackpressureBookTests.this.replica)).isTrue();
		}

		/** Guards against a new process that is bound by what the one before it asked. */
		@Test
		void anotherProcessUnderItsIdIsFree() {
			BackpressureBookTests.this.book.heard(0, BackpressureBookTests.this.replica, limit(0));
			assertThat(BackpressureBookTests.this.book.takes(0, replica(2))).isTrue();
		}

		@Test
		void oneThatIsGoneIsForgotten() {
			BackpressureBookTests.this.book.heard(0, BackpressureBookTests.this.replica, limit(0));
			BackpressureBookTests.this.book.retain(Set.of());
			assertThat(BackpressureBookTests.this.book.countLimited()).isZero();
		}

		@Test
		void itIsNotAskedForItsLoad() {
			BackpressureBookTests.this.book.heard(0, BackpressureBookTests.this.replica, limit(100));
			assertThat(BackpressureBookTests.this.book.mayAsk(0, BackpressureBookTests.this.replica)).isFalse();
		}

	}

	@Nested
	class WhileARequestWaitsForAConnection {

		/** Guards against requests on their way that pass by a limit named meanwhile. */
		@Test
		void limitNamedMeanwhileHoldsForIt() {
			BackpressureBook book = BackpressureBookTests.this.book;
			Admission before = book.admit(0, BackpressureBookTests.this.replica);
			book.heard(0, BackpressureBookTests.this.replica, limit(0));
			long turn = book.backMillis(0, ENGINES, List.of(BackpressureBookTests.this.replica));
			assertThat(book.mayStillSend(turn + 1000, BackpressureBookTests.this.replica, before)).isFalse();
		}

		@Test
		void partOfTheLimitIsCountedOnce() {
			BackpressureBook book = BackpressureBookTests.this.book;
			book.heard(0, BackpressureBookTests.this.replica, limit(0.5));
			long next = book.backMillis(0, ENGINES, List.of(BackpressureBookTests.this.replica));
			Admission admission = book.admit(next, BackpressureBookTests.this.replica);
			assertThat(admission).isEqualTo(Admission.COUNTED);
			assertThat(book.mayStillSend(next, BackpressureBookTests.this.replica, admission)).isTrue();
		}

	}

	@Nested
	class WhereAllReplicasAreLimited {

		/** Guards against callers that are all told to come back at the same time. */
		@Test
		void callersAreToldTimesAsFarApartAsTheRequestsThatMayBeSent() {
			BackpressureBook book = BackpressureBookTests.this.book;
			book.heard(0, BackpressureBookTests.this.replica, limit(2));
			long first = book.backMillis(0, ENGINES, List.of(BackpressureBookTests.this.replica));
			assertThat(book.backMillis(0, ENGINES, List.of(BackpressureBookTests.this.replica))).isEqualTo(first + 500);
			assertThat(book.backMillis(0, ENGINES, List.of(BackpressureBookTests.this.replica)))
				.isEqualTo(first + 1000);
		}

		@Test
		void noCallerIsSentAwayForLong() {
			BackpressureBook book = BackpressureBookTests.this.book;
			book.heard(0, BackpressureBookTests.this.replica, limit(0.01));
			for (int i = 0; i < 100; i++) {
				assertThat(book.backMillis(0, ENGINES, List.of(BackpressureBookTests.this.replica)))
					.isLessThanOrEqualTo(10_000);
			}
		}

	}

	@Nested
	class WhereAReplicaAsksForRest {

		private static Backpressure rest(long millis) {
			return new Backpressure(new RateLimit.None(), millis);
		}

		private boolean takes(long now) {
			return BackpressureBookTests.this.book.takes(now, BackpressureBookTests.this.replica);
		}

		private void heard(long now, Backpressure asked) {
			BackpressureBookTests.this.book.heard(now, BackpressureBookTests.this.replica, asked);
		}

		@Test
		void itGetsNothingUntilThatTimeIsOver() {
			heard(0, rest(3000));
			assertThat(takes(2999)).isFalse();
			assertThat(BackpressureBookTests.this.book.mayAsk(2999, BackpressureBookTests.this.replica)).isFalse();
			assertThat(takes(3000)).isTrue();
			assertThat(BackpressureBookTests.this.book.mayAsk(3000, BackpressureBookTests.this.replica)).isTrue();
		}

		/**
		 * Guards against a rest that is cut short by an answer to a request sent before.
		 */
		@Test
		void neitherAShorterRestNorAnAnswerWithoutOneEndsIt() {
			heard(0, rest(3000));
			heard(100, rest(200));
			heard(200, Backpressure.NONE);
			assertThat(takes(2999)).isFalse();
		}

		/** Guards against a replica that is left out for days by one wrong answer. */
		@Test
		void noOneRestLastsLongerThanFiveMinutes() {
			heard(0, rest(Long.MAX_VALUE));
			assertThat(takes(299_999)).isFalse();
			assertThat(takes(300_000)).isTrue();
		}

		/** Guards against requests that wait for a connection and then disturb it. */
		@Test
		void requestThatWaitsForAConnectionIsNotSent() {
			BackpressureBook book = BackpressureBookTests.this.book;
			Admission free = book.admit(0, BackpressureBookTests.this.replica);
			heard(10, new Backpressure(new RateLimit.Named(50), 0));
			Admission counted = book.admit(1000, BackpressureBookTests.this.replica);
			heard(1010, new Backpressure(new RateLimit.Named(50), 3000));
			assertThat(counted).isEqualTo(Admission.COUNTED);
			assertThat(book.mayStillSend(1020, BackpressureBookTests.this.replica, free)).isFalse();
			assertThat(book.mayStillSend(1020, BackpressureBookTests.this.replica, counted)).isFalse();
		}

		@Test
		void anotherProcessUnderItsIdNeedsNone() {
			heard(0, rest(3000));
			assertThat(BackpressureBookTests.this.book.takes(1, replica(2))).isTrue();
		}

		/** Guards against callers that are sent away for longer than the rest lasts. */
		@Test
		void callersAreToldToComeBackWhenItIsOver() {
			heard(0, rest(3000));
			assertThat(BackpressureBookTests.this.book.backMillis(1000, ENGINES,
					List.of(BackpressureBookTests.this.replica)))
				.isEqualTo(2000);
		}

	}

}
