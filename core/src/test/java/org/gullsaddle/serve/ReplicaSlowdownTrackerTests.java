package org.gullsaddle.serve;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.gullsaddle.base.Address;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class ReplicaSlowdownTrackerTests {

	private static final int USUAL_PERCENT = 100;

	private final ReplicaSelector selector = new ReplicaSelector(new NodeLocation("a", Map.of("a", "north")));

	private final List<Replica> replicas = List.of(replica(0, 1), replica(1, 1), replica(2, 1));

	private static Replica replica(int number, long sequence) {
		return new Replica(new ReplicaId("e" + number), new ServiceName("engines"), new Address("10.0.0.1", 80), "a",
				"v1", 64, false, sequence);
	}

	private static ReplicaTask task(int tokens, String part) {
		Prompt prompt = new Prompt(tokens, 100, OptionalInt.empty(), List.of(new PromptPart(part, tokens)));
		return new ReplicaTask("small", prompt, 1, ModelSizeClass.SMALL, 100_000, 2000);
	}

	private ReplicaChoice choose(long now, Replica replica) {
		return this.selector.chooseReplica(now, List.of(replica), Set.of(), task(10_000, "x")).orElseThrow();
	}

	private double factor(long now, int number) {
		return choose(now, this.replicas.get(number)).slowdown().factor();
	}

	private void reportSlowdowns(long now, int... percents) {
		for (int i = 0; i < percents.length; i++) {
			this.selector.onSlowdownReport(now, this.replicas.get(i), percents[i]);
		}
	}

	/**
	 * Has each replica answer once a second, so many times later than a usual one.
	 */
	private void recordAnswers(int times, double... slower) {
		for (int i = 0; i < times; i++) {
			long now = 1000L * i;
			for (int j = 0; j < slower.length; j++) {
				reportSlowdowns(now, USUAL_PERCENT, USUAL_PERCENT, USUAL_PERCENT);
				this.selector.recordFirstEventDelay(choose(now, this.replicas.get(j)), task(10_000, "x"),
						Math.round(500 * slower[j]), true);
			}
		}
	}

	@Test
	void reportedSlowdownAppliesAtOnce() {
		reportSlowdowns(0, USUAL_PERCENT, USUAL_PERCENT, 250);
		assertThat(factor(0, 2)).isGreaterThan(1.5 * factor(0, 0));
	}

	/** Guards against a replica that is shunned for what it told long ago. */
	@Test
	void reportedSlowdownDecaysIfReportsStop() {
		reportSlowdowns(0, USUAL_PERCENT, USUAL_PERCENT, 250);
		double first = factor(0, 2);
		assertThat(factor(600, 2) - 1).isLessThan(0.5 * (first - 1));
		assertThat(factor(400_000, 2)).isCloseTo(factor(400_000, 0), within(0.01));
	}

	@Test
	void permanentSlowdownIsLearned() {
		recordAnswers(8, 1, 1, 1.7);
		assertThat(factor(10_000, 2) / factor(10_000, 0)).isBetween(1.4, 2.0);
	}

	/**
	 * Guards against a replica that was slow for some seconds, and gets nothing after.
	 */
	@Test
	void learnedSlowdownDecaysWithoutReports() {
		recordAnswers(8, 1, 1, 1.7);
		assertThat(factor(400_000, 2)).isCloseTo(factor(400_000, 0), within(0.01));
	}

	/** Guards against a replica that is shunned for what its last process was. */
	@Test
	void restartedReplicaStartsWithTheMeanOfItsPeers() {
		recordAnswers(8, 1, 1, 1.7);
		reportSlowdowns(7001, USUAL_PERCENT, USUAL_PERCENT, 250);
		double peers = choose(7001, replica(3, 1)).slowdown().factor();
		assertThat(choose(7001, replica(2, 2)).slowdown().factor()).isEqualTo(peers);
	}

	/** Guards against figures that make a replica seem to work in no time. */
	@ParameterizedTest
	@ValueSource(ints = { 1, 99_999 })
	void absurdReportsAreClamped(int percent) {
		for (int i = 0; i < 100; i++) {
			reportSlowdowns(100L * i, USUAL_PERCENT, USUAL_PERCENT, percent);
		}
		assertThat(factor(9_900, 2)).isBetween(0.3, 11.0);
	}

	@Test
	void slowReplicaDoesNotRaiseTheDelaysOfOthers() {
		recordAnswers(40, 1, 1, 3);
		assertThat(choose(40_000, this.replicas.get(0)).delay().expectedMillis()).isBetween(400.0, 600.0);
	}

	@Nested
	class WithoutReportedSlowdowns {

		/**
		 * Guards against nodes that crowd on the few replicas which they took for best.
		 */
		@Test
		void delaysOfOneReplicaApplyToAll() {
			for (int i = 0; i < 20; i++) {
				ReplicaChoice slow = choose(i, ReplicaSlowdownTrackerTests.this.replicas.get(2));
				ReplicaSlowdownTrackerTests.this.selector.recordFirstEventDelay(slow, task(10_000, "x"), 3000, true);
			}
			ReplicaChoice other = choose(20, ReplicaSlowdownTrackerTests.this.replicas.get(0));
			ReplicaChoice slow = choose(20, ReplicaSlowdownTrackerTests.this.replicas.get(2));
			assertThat(other.delay()).isEqualTo(slow.delay());
			assertThat(slow.slowdown()).isEqualTo(Slowdown.NONE);
			assertThat(ReplicaSlowdownTrackerTests.this.selector.countReportedSlowdowns()).isZero();
		}

	}

	/**
	 * One node of thirty, which at each moment can choose among some replicas only.
	 */
	@Nested
	class AmongReplicasOfDifferentSpeed {

		private static final int REPLICAS = 38;

		private static final int CANDIDATES = 6;

		private static final int ATTEMPTS = 4000;

		private static final long ATTEMPT_INTERVAL_MILLIS = 50;

		private static final long WINDOW_MILLIS = 600;

		private static final double[] SPEEDS = { 0.7, 1, 1.7 };

		/** What is lost beside an oracle, as a share of what is lost without paces. */
		private static final double MAX_EXCESS_SHARE = 1.0 / 3;

		private final List<Replica> all = new ArrayList<>();

		private boolean slowdownReported;

		private boolean reportIncludesSpeed;

		private double passingSlowdown(int replica, long at) {
			return (new Random(31L * replica + 7919 * (at / WINDOW_MILLIS)).nextInt(1000) < 150) ? 2.5 : 1;
		}

		private double speed(int replica) {
			return SPEEDS[replica % SPEEDS.length];
		}

		/**
		 * Returns how long work takes that begins at a time.
		 */
		private long durationMillis(int replica, long from, double work) {
			double left = work * speed(replica);
			long now = from;
			while (left > 0) {
				long window = WINDOW_MILLIS - now % WINDOW_MILLIS;
				double slowed = passingSlowdown(replica, now);
				if (left * slowed <= window) {
					return now - from + Math.round(left * slowed);
				}
				left -= window / slowed;
				now += window;
			}
			return now - from;
		}

		private int indexOf(Replica replica) {
			return this.all.indexOf(replica);
		}

		private void finish(Attempt attempt) {
			ReplicaSelector picker = ReplicaSlowdownTrackerTests.this.selector;
			int number = indexOf(attempt.choice.replica());
			double figure = passingSlowdown(number, attempt.end) * (this.reportIncludesSpeed ? speed(number) : 1);
			if (this.slowdownReported) {
				picker.onSlowdownReport(attempt.end, attempt.choice.replica(),
						(int) Math.round(USUAL_PERCENT * figure));
			}
			picker.onPromptRead(attempt.choice, attempt.task);
			picker.recordFirstEventDelay(attempt.choice, attempt.task, attempt.millis(), true);
			picker.onAttemptEnded(attempt.end, attempt.choice, new AttemptEnd.Answered(200));
		}

		/**
		 * Returns how much longer than the oracle's the chosen ones take, as a share.
		 */
		private double excessRatio() {
			Random random = new Random(1);
			ReplicaSelector picker = ReplicaSlowdownTrackerTests.this.selector;
			for (int i = 0; i < REPLICAS; i++) {
				this.all.add(replica(i, 1));
			}
			PriorityQueue<Attempt> open = new PriorityQueue<>(Comparator.comparingLong(Attempt::end));
			double taken = 0;
			double best = 0;
			for (int i = 0; i < ATTEMPTS; i++) {
				long now = ATTEMPT_INTERVAL_MILLIS * i;
				while (!open.isEmpty() && open.peek().end <= now) {
					finish(open.poll());
				}
				List<Replica> free = new ArrayList<>(this.all);
				Collections.shuffle(free, random);
				ReplicaTask task = task(4000 + random.nextInt(12_000), "x" + i);
				double work = 0.1 * task.prompt().inputTokens() * (0.9 + 0.2 * random.nextDouble());
				ReplicaChoice choice = picker.chooseReplica(now, free.subList(0, CANDIDATES), Set.of(), task)
					.orElseThrow();
				picker.onSent(now, choice, task);
				long millis = durationMillis(indexOf(choice.replica()), now, work);
				open.add(new Attempt(choice, task, now, now + millis));
				taken += millis;
				best += free.subList(0, CANDIDATES)
					.stream()
					.mapToLong((each) -> durationMillis(indexOf(each), now, work))
					.min()
					.orElse(0);
			}
			return taken / best - 1;
		}

		private double excessRatioWithReports(boolean speedInFigure) {
			AmongReplicasOfDifferentSpeed told = new ReplicaSlowdownTrackerTests().new AmongReplicasOfDifferentSpeed();
			told.slowdownReported = true;
			told.reportIncludesSpeed = speedInFigure;
			return told.excessRatio();
		}

		@ParameterizedTest
		@ValueSource(booleans = { true, false })
		void chosenReplicasAreLittleSlowerThanTheBest(boolean speedInFigure) {
			double ignoring = excessRatio();
			double with = excessRatioWithReports(speedInFigure);
			assertThat(with).isLessThan(MAX_EXCESS_SHARE * ignoring);
		}

		private record Attempt(ReplicaChoice choice, ReplicaTask task, long start, long end) {

			long millis() {
				return this.end - this.start;
			}

		}

	}

}
