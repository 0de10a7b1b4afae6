package org.gullsaddle.serve;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.gullsaddle.base.Fingerprint;
import org.gullsaddle.fleet.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class RetryAfterSchedulerTests {

	private static final ServiceName SERVICE = new ServiceName("engines");

	private static final long EARLIEST_MILLIS = 250;

	private static final RemainingTime REMAINING = new RemainingTime(12_000, 4000);

	/** The latest return from which the objective can be met, in milliseconds. */
	private static final long USEFUL_MILLIS = 1334;

	/** How many requests end on all replicas together in a second. */
	private static final int ENDS_PER_SECOND = 200;

	private final Random random = new Random(7);

	private final List<RetryAfterScheduler> nodes = new ArrayList<>();

	/** All retry-after times that were given. */
	private final List<Given> given = new ArrayList<>();

	private int refusals;

	private void nodes(int count) {
		for (int i = 0; i < count; i++) {
			this.nodes.add(new RetryAfterScheduler(new Random(i)));
		}
	}

	private RetryAfterScheduler node() {
		return this.nodes.get(this.random.nextInt(this.nodes.size()));
	}

	private static RefusedRequest refused(int rank, String team, String content) {
		return new RefusedRequest(SERVICE, rank, team, new Fingerprint(content));
	}

	/**
	 * Sends requests of three ranks, most of them of the middle one, at a multiple of the
	 * rate at which replicas end them. The excess is refused.
	 */
	private void load(long from, long until, double times, double ends) {
		double coming = 0;
		double ending = 0;
		for (long now = from; now < until; now += 10) {
			coming += times * ENDS_PER_SECOND / 100;
			ending = Math.min(ending + ends * ENDS_PER_SECOND / 100, 20);
			for (; coming >= 1; coming--) {
				RetryAfterScheduler node = node();
				double draw = this.random.nextDouble() * times;
				int rank = (draw < 0.3) ? 0 : (draw < 0.5) ? 2 : 1;
				node.onRequestOpened(now, SERVICE, rank);
				boolean ran = ending >= 1;
				ending -= ran ? 1 : 0;
				node.onRequestClosed(now, SERVICE, rank, ran);
				if (!ran) {
					refuse(now, node, refused(rank, "t" + this.random.nextInt(5), "c" + this.refusals++), REMAINING);
				}
			}
		}
	}

	private RetryAfter refuse(long now, RetryAfterScheduler node, RefusedRequest refused, RemainingTime left) {
		RetryAfter time = node.schedule(now, refused, EARLIEST_MILLIS + this.random.nextLong(EARLIEST_MILLIS), left);
		this.given.add(new Given(now, time.retryAfterMillis(), refused.rank(), time.capacityExpected()));
		return time;
	}

	private long maxReturnsInASecond() {
		List<Long> times = this.given.stream()
			.filter(Given::capacityExpected)
			.map((each) -> each.at + each.millis)
			.sorted()
			.toList();
		return times.stream()
			.mapToLong((from) -> times.stream().filter((each) -> each >= from && each < from + 1000).count())
			.max()
			.orElse(0);
	}

	private double meanMillis(int rank) {
		return this.given.stream()
			.filter((each) -> each.rank == rank)
			.mapToLong(Given::millis)
			.average()
			.orElse(Double.NaN);
	}

	@Test
	void nodeThatHasSeenNoEndsGivesTheEarliestTime() {
		nodes(1);
		assertThat(this.nodes.get(0).schedule(0, refused(0, "a", "c"), 300, REMAINING))
			.isEqualTo(new RetryAfter(300, true));
	}

	@Test
	void callersPastTheObjectiveReturnWithinAThirdOfTheirRemainingTime() {
		nodes(1);
		load(0, 20_000, 0.9, 1);
		load(20_000, 40_000, 0.9, 0);
		RetryAfter time = refuse(40_000, node(), refused(1, "a", "c"), new RemainingTime(9000, -1));
		assertThat(time.retryAfterMillis()).isBetween(USEFUL_MILLIS, 3000L);
	}

	/**
	 * Load: 0.9. One team's callers are refused six times as often as another's.
	 */
	@Test
	void teamOfManyReturningCallersDoesNotDelayAnothers() {
		nodes(1);
		load(0, 20_000, 0.9, 1);
		RetryAfterScheduler node = node();
		long large = 0;
		for (int i = 0; i < 18; i++) {
			large = node.schedule(20_000, refused(2, "large", "l" + i), EARLIEST_MILLIS, REMAINING).retryAfterMillis();
		}
		long small = node.schedule(20_000, refused(2, "small", "s"), EARLIEST_MILLIS, REMAINING).retryAfterMillis();
		assertThat(small).isLessThan(large / 2);
	}

	/**
	 * Load: 0.9 of the capacity for 20 s, 2.6 times the capacity for 6 s, most of it of
	 * one rank, then 0.9 again.
	 */
	@Nested
	class AfterABurst {

		private void burst(int count) {
			nodes(count);
			load(0, 20_000, 0.9, 1);
			load(20_000, 26_000, 2.6, 1);
			load(26_000, 36_000, 0.9, 1);
		}

		/** Guards against callers that are refused together and return together. */
		@ParameterizedTest
		@ValueSource(ints = { 4, 22, 340 })
		void noMoreCallersReturnInASecondThanRequestsEnd(int count) {
			burst(count);
			assertThat(maxReturnsInASecond()).isBetween(1L, (long) ENDS_PER_SECOND);
		}

		/** Guards against less urgent callers that return before urgent ones. */
		@ParameterizedTest
		@ValueSource(ints = { 4, 22, 340 })
		void moreUrgentRanksReturnSooner(int count) {
			burst(count);
			assertThat(meanMillis(0)).isLessThan(meanMillis(1));
			assertThat(meanMillis(1)).isLessThan(meanMillis(2));
		}

		/**
		 * Guards against times that are too long to be heeded or to meet the objective,
		 * and against too short ones.
		 */
		@ParameterizedTest
		@ValueSource(ints = { 4, 22, 340 })
		void timesAreNeverTooSoonOrTooLate(int count) {
			burst(count);
			assertThat(RetryAfterSchedulerTests.this.given)
				.allMatch((each) -> each.millis >= EARLIEST_MILLIS && each.millis <= USEFUL_MILLIS);
		}

		/** Guards against a node that still gives long times once there is capacity. */
		@Test
		void laterCallersReturnAsSoonAsBefore() {
			burst(4);
			RetryAfter time = refuse(36_000, node(), refused(1, "a", "late"), REMAINING);
			assertThat(time.retryAfterMillis()).isLessThan(3 * EARLIEST_MILLIS);
		}

	}

	/**
	 * Load: 0.9, and a refused caller that returns at once three times.
	 */
	@Nested
	class WhenACallerReturnsTooEarly {

		private RetryAfterScheduler node;

		private void open() {
			RetryAfterSchedulerTests.this.nodes.clear();
			nodes(1);
			load(0, 20_000, 0.9, 1);
			this.node = node();
		}

		private RetryAfter next(long now, String content) {
			return this.node.schedule(now, refused(2, "a", content), EARLIEST_MILLIS, REMAINING);
		}

		/** Guards against callers that gain by returning too early. */
		@Test
		void itKeepsItsTime() {
			open();
			next(20_000, "other");
			long at = 20_000 + next(20_000, "pressing").retryAfterMillis();
			for (int i = 1; i <= 3; i++) {
				assertThat(20_000 + i + next(20_000 + i, "pressing").retryAfterMillis()).isGreaterThanOrEqualTo(at);
			}
		}

		private long retryAfterOfAnotherCaller(int times) {
			open();
			for (int i = 0; i <= times; i++) {
				next(20_000, "pressing");
			}
			return next(20_010, "other").retryAfterMillis();
		}

		/** Guards against callers that are delayed by those that return too early. */
		@Test
		void otherCallersAreNotDelayed() {
			assertThat(retryAfterOfAnotherCaller(3)).isCloseTo(retryAfterOfAnotherCaller(0), within(EARLIEST_MILLIS));
		}

	}

	/**
	 * Load: 0.9; for 20 s no request ends, because all replicas were lost.
	 */
	@Nested
	class WhenNothingEnds {

		/** Guards against callers that return early to a fleet that completes nothing. */
		@Test
		void callersReturnLateAndNoCapacityIsExpected() {
			nodes(4);
			load(0, 20_000, 0.9, 1);
			load(20_000, 40_000, 0.9, 0);
			RetryAfter time = refuse(40_000, node(), refused(1, "a", "c"), REMAINING);
			assertThat(time.capacityExpected()).isFalse();
			assertThat(time.retryAfterMillis()).isBetween(USEFUL_MILLIS / 2, USEFUL_MILLIS);
		}

		/** Guards against a rate that stays at zero once replicas are back. */
		@Test
		void callersReturnSoonAgainOnceRequestsEnd() {
			nodes(4);
			load(0, 20_000, 0.9, 1);
			load(20_000, 40_000, 0.9, 0);
			load(40_000, 50_000, 0.9, 1);
			RetryAfter time = refuse(50_000, node(), refused(1, "a", "c"), REMAINING);
			assertThat(time.capacityExpected()).isTrue();
			assertThat(time.retryAfterMillis()).isLessThan(3 * EARLIEST_MILLIS);
		}

	}

	private record Given(long at, long millis, int rank, boolean capacityExpected) {
	}

}
