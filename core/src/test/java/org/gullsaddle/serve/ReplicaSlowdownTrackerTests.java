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

	private static final int USUAL = 100;

	private final ReplicaSelector picker = new ReplicaSelector(new NodeLocation("a", Map.of("a", "north")));

	private final List<Replica> replicas = List.of(replica(0, 1), replica(1, 1), replica(2, 1));

	private static Replica replica(int number, long sequence) {
		return new Replica(new ReplicaId("e" + number), new ServiceName("engines"), new Address("10.0.0.1", 80), "a",
				"v1", 64, false, sequence);
	}

	private static ReplicaTask task(int tokens, String part) {
		Prompt prompt = new Prompt(tokens, 100, OptionalInt.empty(), List.of(new PromptPart(part, tokens)));
		return new ReplicaTask("small", prompt, 1, ModelSizeClass.SMALL, 100_000, 2000);
	}

	private ReplicaChoice choice(long now, Replica replica) {
		return this.picker.chooseReplica(now, List.of(replica), Set.of(), task(10_000, "x")).orElseThrow();
	}

	private double factor(long now, int number) {
		return choice(now, this.replicas.get(number)).slowdown().factor();
	}

	private void tell(long now, int... percents) {
		for (int i = 0; i < percents.length; i++) {
			this.picker.onSlowdownReport(now, this.replicas.get(i), percents[i]);
		}
	}

	/**
	 * Has each replica answer once a second, so many times later than a usual one.
	 */
	private void answer(int times, double... slower) {
		for (int i = 0; i < times; i++) {
			long now = 1000L * i;
			for (int j = 0; j < slower.length; j++) {
				tell(now, USUAL, USUAL, USUAL);
				this.picker.recordFirstEventDelay(choice(now, this.replicas.get(j)), task(10_000, "x"),
						Math.round(500 * slower[j]), true);
			}
		}
	}

	@Test
	void figureCountsAtOnce() {
		tell(0, USUAL, USUAL, 250);
		assertThat(factor(0, 2)).isGreaterThan(1.5 * factor(0, 0));
	}

	/** Guards against a replica that is shunned for what it told long ago. */
	@Test
	void figureFadesIfReportsStop() {
		tell(0, USUAL, USUAL, 250);
		double first = factor(0, 2);
		assertThat(factor(600, 2) - 1).isLessThan(0.5 * (first - 1));
		assertThat(factor(400_000, 2)).isCloseTo(factor(400_000, 0), within(0.01));
	}

	@Test
	void replicaThatIsSlowForGoodIsExpectedToBeSlow() {
		answer(8, 1, 1, 1.7);
		assertThat(factor(10_000, 2) / factor(10_000, 0)).isBetween(1.4, 2.0);
	}

	/**
	 * Guards against a replica that was slow for some seconds, and gets nothing after.
	 */
	@Test
	void lastingPaceFadesIfNothingIsHeardOfIt() {
		answer(8, 1, 1, 1.7);
		assertThat(factor(400_000, 2)).isCloseTo(factor(400_000, 0), within(0.01));
	}

	/** Guards against a replica that is shunned for what its last process was. */
	@Test
	void replicaThatRestartsIsTakenAsItsPeers() {
		answer(8, 1, 1, 1.7);
		tell(7001, USUAL, USUAL, 250);
		double peers = choice(7001, replica(3, 1)).slowdown().factor();
		assertThat(choice(7001, replica(2, 2)).slowdown().factor()).isEqualTo(peers);
	}

	/** Guards against figures that make a replica seem to work in no time. */
	@ParameterizedTest
	@ValueSource(ints = { 1, 99_999 })
	void absurdFiguresAreBounded(int percent) {
		for (int i = 0; i < 100; i++) {
			tell(100L * i, USUAL, USUAL, percent);
		}
		assertThat(factor(9_900, 2)).isBetween(0.3, 11.0);
	}

	@Test
	void slowReplicaDoesNotTeachTheOthersDelays() {
		answer(40, 1, 1, 3);
		assertThat(choice(40_000, this.replicas.get(0)).delay().expectedMillis()).isBetween(400.0, 600.0);
	}

	@Nested
	class WhereNoPaceIsTold {

		/**
		 * Guards against nodes that crowd on the few replicas which they took for best.
		 */
		@Test
		void delaysOfOneReplicaCountForAll() {
			for (int i = 0; i < 20; i++) {
				ReplicaChoice slow = choice(i, ReplicaSlowdownTrackerTests.this.replicas.get(2));
				ReplicaSlowdownTrackerTests.this.picker.recordFirstEventDelay(slow, task(10_000, "x"), 3000, true);
			}
			ReplicaChoice other = choice(20, ReplicaSlowdownTrackerTests.this.replicas.get(0));
			ReplicaChoice slow = choice(20, ReplicaSlowdownTrackerTests.this.replicas.get(2));
			assertThat(other.delay()).isEqualTo(slow.delay());
			assertThat(slow.slowdown()).isEqualTo(Slowdown.NONE);
			assertThat(ReplicaSlowdownTrackerTests.this.picker.countReportedSlowdowns()).isZero();
		}

	}

	/**
	 * One node of thirty, which at each moment can choose among some replicas only.
	 */
	@Nested
	class AmongUnequalReplicas {

		private static final int REPLICAS = 38;

		private static final int FREE = 6;

		private static final int ATTEMPTS = 4000;

		private static final long EVERY_MILLIS = 50;

		private static final long WINDOW_MILLIS = 600;

		private static final double[] SPEEDS = { 0.7, 1, 1.7 };

		/** What is lost beside an oracle, as a share of what is lost without paces. */
		private static final double TARGET = 1.0 / 3;

		private final List<Replica> all = new ArrayList<>();

		private boolean toldFigure;

		private boolean figureHasSpeed;

		private double slowed(int replica, long at) {
			return (new Random(31L * replica + 7919 * (at / WINDOW_MILLIS)).nextInt(1000) < 150) ? 2.5 : 1;
		}

		private double speed(int replica) {
			return SPEEDS[replica % SPEEDS.length];
		}

		/**
		 * Returns how long work takes that begins at a time.
		 */
		private long takes(int replica, long from, double work) {
			double left = work * speed(replica);
			long now = from;
			while (left > 0) {
				long window = WINDOW_MILLIS - now % WINDOW_MILLIS;
				double slowed = slowed(replica, now);
				if (left * slowed <= window) {
					return now - from + Math.round(left * slowed);
				}
				left -= window / slowed;
				now += window;
			}
			return now - from;
		}

		private int number(Replica replica) {
			return this.all.indexOf(replica);
		}

		private void end(Attempt attempt) {
			ReplicaSelector picker = ReplicaSlowdownTrackerTests.this.picker;
			int number = number(attempt.choice.replica());
			double figure = slowed(number, attempt.end) * (this.figureHasSpeed ? speed(number) : 1);
			if (this.toldFigure) {
				picker.onSlowdownReport(attempt.end, attempt.choice.replica(), (int) Math.round(USUAL * figure));
			}
			picker.onPromptRead(attempt.choice, attempt.task);
			picker.recordFirstEventDelay(attempt.choice, attempt.task, attempt.millis(), true);
			picker.onAttemptEnded(attempt.end, attempt.choice, new AttemptEnd.Answered(200));
		}

		/**
		 * Returns how much longer than the oracle's the chosen ones take, as a share.
		 */
		private double lost() {
			Random random = new Random(1);
			ReplicaSelector picker = ReplicaSlowdownTrackerTests.this.picker;
			for (int i = 0; i < REPLICAS; i++) {
				this.all.add(replica(i, 1));
			}
			PriorityQueue<Attempt> open = new PriorityQueue<>(Comparator.comparingLong(Attempt::end));
			double taken = 0;
			double best = 0;
			for (int i = 0; i < ATTEMPTS; i++) {
				long now = EVERY_MILLIS * i;
				while (!open.isEmpty() && open.peek().end <= now) {
					end(open.poll());
				}
				List<Replica> free = new ArrayList<>(this.all);
				Collections.shuffle(free, random);
				ReplicaTask task = task(4000 + random.nextInt(12_000), "x" + i);
				double work = 0.1 * task.prompt().inputTokens() * (0.9 + 0.2 * random.nextDouble());
				ReplicaChoice choice = picker.chooseReplica(now, free.subList(0, FREE), Set.of(), task).orElseThrow();
				picker.onSent(now, choice, task);
				long millis = takes(number(choice.replica()), now, work);
				open.add(new Attempt(choice, task, now, now + millis));
				taken += millis;
				best += free.subList(0, FREE)
					.stream()
					.mapToLong((each) -> takes(number(each), now, work))
					.min()
					.orElse(0);
			}
			return taken / best - 1;
		}

		private double lostWith(boolean speedInFigure) {
			AmongUnequalReplicas told = new ReplicaSlowdownTrackerTests().new AmongUnequalReplicas();
			told.toldFigure = true;
			told.figureHasSpeed = speedInFigure;
			return told.lost();
		}

		@ParameterizedTest
		@ValueSource(booleans = { true, false })
		void chosenOnesTakeLittleLongerThanTheBest(boolean speedInFigure) {
			double ignoring = lost();
			double with = lostWith(speedInFigure);
			assertThat(with).isLessThan(TARGET * ignoring);
		}

		private record Attempt(ReplicaChoice choice, ReplicaTask task, long start, long end) {

			long millis() {
				return this.end - this.start;
			}

		}

	}

}
