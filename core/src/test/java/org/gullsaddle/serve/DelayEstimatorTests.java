package org.gullsaddle.serve;

import java.util.List;
import java.util.OptionalInt;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.gullsaddle.base.Address;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

class DelayEstimatorTests {

	private static final long OBJECTIVE = 3000;

	private static final ReplicaTask LARGE = task("large", 15);

	private static final ReplicaTask SMALL = task("small", 1);

	private final DelayEstimator delays = new DelayEstimator();

	private final Random random = new Random(1);

	private static ReplicaTask task(String model, double pace) {
		return new ReplicaTask(model, new Prompt(1000, 100, OptionalInt.empty(), List.of()), pace, ModelSizeClass.LARGE,
				100_000, OBJECTIVE);
	}

	private static Replica replica(String release) {
		return new Replica(new ReplicaId("e"), new ServiceName("engines"), new Address("10.0.0.1", 80), "a", release, 8,
				false, 1);
	}

	private static EngineLoad unread(int tokens) {
		return new EngineLoad(tokens, 0, 0, false);
	}

	private void answers(int count, double millisPerToken) {
		for (int i = 0; i < count; i++) {
			int tokens = 100 + this.random.nextInt(20_000);
			double noise = 1 + 0.1 * this.random.nextGaussian();
			this.delays.modelFor(replica("v1"), LARGE)
				.recordFirstEvent(unread(tokens), noise * (5 + millisPerToken * tokens));
		}
	}

	private double chanceInTime(ReplicaTask task, int tokens) {
		return this.delays.modelFor(replica("v1"), task).estimate(unread(tokens)).probabilityWithin(OBJECTIVE);
	}

	/**
	 * Guards against keeping the small model's doubted answers on engines several times
	 * faster than those that figures were taken from, and against promising what slower
	 * ones cannot hold.
	 */
	@ParameterizedTest
	@ValueSource(doubles = { 0.02, 0.1, 0.5 })
	void paceOfAnyEngineIsLearned(double millisPerToken) {
		answers(60, millisPerToken);
		int justInTime = (int) (OBJECTIVE / millisPerToken);
		assertThat(chanceInTime(LARGE, (int) (0.7 * justInTime))).isGreaterThan(0.8);
		assertThat(chanceInTime(LARGE, (int) (1.5 * justInTime))).isLessThan(0.2);
	}

	@Test
	void modelsAreLearnedApart() {
		answers(60, 0.5);
		assertThat(this.delays.modelFor(replica("v1"), SMALL).estimate(unread(10_000)).expectedMillis())
			.isLessThan(500);
	}

	@Test
	void newReleaseIsExpectedToRunAsTheOneBefore() {
		answers(60, 0.02);
		double old = this.delays.modelFor(replica("v1"), LARGE).estimate(unread(10_000)).expectedMillis();
		assertThat(this.delays.modelFor(replica("v2"), LARGE).estimate(unread(10_000)).expectedMillis()).isEqualTo(old);
	}

	@Test
	void estimateBecomesSurerWithAnswers() {
		double before = this.delays.modelFor(replica("v1"), LARGE).estimate(unread(10_000)).deviationMillis();
		answers(60, 0.1);
		assertThat(this.delays.modelFor(replica("v1"), LARGE).estimate(unread(10_000)).deviationMillis())
			.isLessThan(before);
	}

	/**
	 * Guards against a few absurd observations that make every later estimate useless.
	 */
	@Test
	void absurdObservationsLeaveNumbersThatCanBeUsed() {
		for (int i = 0; i < 2000; i++) {
			double exponent = this.random.nextInt(9);
			EngineLoad load = new EngineLoad(this.random.nextInt(Integer.MAX_VALUE), Math.pow(10, exponent),
					this.random.nextInt(100_000), this.random.nextBoolean());
			this.delays.modelFor(replica("v1"), LARGE)
				.recordFirstEvent(load, this.random.nextDouble() * Math.pow(10, exponent));
			DelayEstimate delay = this.delays.modelFor(replica("v1"), LARGE)
				.estimate(unread(this.random.nextInt(100_000)));
			assertThat(delay.expectedMillis()).isFinite().isNotNegative();
			assertThat(delay.deviationMillis()).isFinite().isPositive();
		}
		answers(1000, 0.02);
		assertThat(chanceInTime(LARGE, 10_000)).isGreaterThan(0.8);
	}

	@Nested
	class RequestThatWasGivenUp {

		@Test
		void teachesThatItTakesLongerThanExpected() {
			double before = chanceInTime(LARGE, 1000);
			for (int i = 0; i < 20; i++) {
				DelayEstimatorTests.this.delays.modelFor(replica("v1"), LARGE).recordNoFirstEvent(unread(1000), 10_000);
			}
			assertThat(chanceInTime(LARGE, 1000)).isLessThan(before);
		}

		@Test
		void teachesNothingIfItWasGivenUpEarly() {
			double before = chanceInTime(LARGE, 10_000);
			DelayEstimatorTests.this.delays.modelFor(replica("v1"), LARGE).recordNoFirstEvent(unread(10_000), 1);
			assertThat(chanceInTime(LARGE, 10_000)).isEqualTo(before);
		}

	}

}
