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
	 * Has each replica answer once a second, with the given slowdown relative to a usual
	 * one.
	 */
	private void recordAnswers(int times, double... slowdowns) {
		for (int i = 0; i < times; i++) {
			long now = 1000L * i;
			for (int j = 0; j < slowdowns.length; j++) {
				reportSlowdowns(now, USUAL_PERCENT, USUAL_PERCENT, USUAL_PERCENT);
				this.selector.recordFirstEventDelay(choose(now, this.replicas.get(j)), task(10_000, "x"),
						Math.round(500 * slowdowns[j]), true);
			}
		}
	}

	@Test
	void reportedSlowdownAppliesAtOnce() {
		reportSlowdowns(0, USUAL_PERCENT, USUAL_PERCENT, 250);
		assertThat(factor(0, 2)).isGreaterThan(1.5 * factor(0, 0));
	}

	/** Guards against avoiding a replica for a report that is long outdated. */
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
	 * Guards against a replica that was slow for some seconds and gets no requests
	 * afterwards.
	 */
	@Test
	void learnedSlowdownDecaysWithoutReports() {
		recordAnswers(8, 1, 1, 1.7);
		assertThat(factor(400_000, 2)).isCloseTo(factor(400_000, 0), within(0.01));
	}

	/** Guards against avoiding a replica for the slowdown of its previous process. */
	@Test
	void restartedReplicaStartsWithTheMeanOfItsPeers() {
		recordAnswers(8, 1, 1, 1.7);
		reportSlowdowns(7001, USUAL_PERCENT, USUAL_PERCENT, 250);
		double peers = choose(7001, replica(3, 1)).slowdown().factor();
		assertThat(choose(7001, replica(2, 2)).slowdown().factor()).isEqualTo(peers);
	}

	/** Guards against reports that make a replica appear to work in no time. */
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
		 * Guards against nodes that all send to the few replicas that they consider best.
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
	 * One node of thirty, which at any moment can choose among a few replicas only.
	 */
	@Nested
	class AmongReplicasOfDifferentSpeed {

		private static final int REPLICAS = 38;

		private static final int CANDIDATES = 6;

		private static final int ATTEMPTS = 4000;

		private static final long ATTEMPT_INTERVAL_MILLIS = 50;

		private static final long WINDOW_MILLIS = 600;

		private static final double[] SPEEDS = { 0.7, 1, 1.7 };

		/**
		 * The largest excess over an oracle, as a share of the excess without reported
		 * slowdowns.
		 */
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
		 * Returns how long work takes that begins at the given time.
		 */
		private long durationMillis(int replica, long from, double work) {
			double remaining = work * speed(replica);
			long now = from;
			while (remaining > 0) {
				long window = WINDOW_MILLIS - now % WINDOW_MILLIS;
				double slowdown = passingSlowdown(replica, now);
				if (remaining * slowdown <= window) {
					return now - from + Math.round(remaining * slowdown);
				}
				remaining -= window / slowdown;
				now += window;
			}
			return now - from;
		}

		private int indexOf(Replica replica) {
			return this.all.indexOf(replica);
		}

		private void finish(Attempt attempt) {
			ReplicaSelector selector = ReplicaSlowdownTrackerTests.this.selector;
			int number = indexOf(attempt.choice.replica());
			double reported = passingSlowdown(number, attempt.end) * (this.reportIncludesSpeed ? speed(number) : 1);
			if (this.slowdownReported) {
				selector.onSlowdownReport(attempt.end, attempt.choice.replica(),
						(int) Math.round(USUAL_PERCENT * reported));
			}
			selector.onPromptRead(attempt.choice, attempt.task);
			selector.recordFirstEventDelay(attempt.choice, attempt.task, attempt.millis(), true);
			selector.onAttemptEnded(attempt.end, attempt.choice, new AttemptEnd.Answered(200));
		}

		/**
		 * Returns by what share the chosen replicas take longer than those an oracle
		 * chooses.
		 */
		private double excessRatio() {
			Random random = new Random(1);
			ReplicaSelector selector = ReplicaSlowdownTrackerTests.this.selector;
			for (int i = 0; i < REPLICAS; i++) {
				this.all.add(replica(i, 1));
			}
			PriorityQueue<Attempt> open = new PriorityQueue<>(Comparator.comparingLong(Attempt::end));
			double takenMillis = 0;
			double bestMillis = 0;
			for (int i = 0; i < ATTEMPTS; i++) {
				long now = ATTEMPT_INTERVAL_MILLIS * i;
				while (!open.isEmpty() && open.peek().end <= now) {
					finish(open.poll());
				}
				List<Replica> free = new ArrayList<>(this.all);
				Collections.shuffle(free, random);
				ReplicaTask task = task(4000 + random.nextInt(12_000), "x" + i);
				double work = 0.1 * task.prompt().inputTokens() * (0.9 + 0.2 * random.nextDouble());
				ReplicaChoice choice = selector.chooseReplica(now, free.subList(0, CANDIDATES), Set.of(), task)
					.orElseThrow();
				selector.onSent(now, choice, task);
				long millis = durationMillis(indexOf(choice.replica()), now, work);
				open.add(new Attempt(choice, task, now, now + millis));
				takenMillis += millis;
				bestMillis += free.subList(0, CANDIDATES)
					.stream()
					.mapToLong((each) -> durationMillis(indexOf(each), now, work))
					.min()
					.orElse(0);
			}
			return takenMillis / bestMillis - 1;
		}

		private double excessRatioWithReports(boolean speedInReport) {
			AmongReplicasOfDifferentSpeed reporting = new ReplicaSlowdownTrackerTests().new AmongReplicasOfDifferentSpeed();
			reporting.slowdownReported = true;
			reporting.reportIncludesSpeed = speedInReport;
			return reporting.excessRatio();
		}

		@ParameterizedTest
		@ValueSource(booleans = { true, false })
		void chosenReplicasAreLittleSlowerThanTheBest(boolean speedInReport) {
			double withoutReports = excessRatio();
			double withReports = excessRatioWithReports(speedInReport);
			assertThat(withReports).isLessThan(MAX_EXCESS_SHARE * withoutReports);
		}

		private record Attempt(ReplicaChoice choice, ReplicaTask task, long start, long end) {

			long millis() {
				return this.end - this.start;
			}

		}

	}

}
