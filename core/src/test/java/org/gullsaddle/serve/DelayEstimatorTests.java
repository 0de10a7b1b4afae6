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

	private static final long OBJECTIVE_MILLIS = 3000;

	private static final ReplicaTask LARGE = task("large", 15);

	private static final ReplicaTask SMALL = task("small", 1);

	private final DelayEstimator estimator = new DelayEstimator();

	private final Random random = new Random(1);

	private static ReplicaTask task(String model, double slowdown) {
		return new ReplicaTask(model, new Prompt(1000, 100, OptionalInt.empty(), List.of()), slowdown,
				ModelSizeClass.LARGE, 100_000, OBJECTIVE_MILLIS);
	}

	private static Replica replica(String release) {
		return new Replica(new ReplicaId("e"), new ServiceName("engines"), new Address("10.0.0.1", 80), "a", release, 8,
				false, 1);
	}

	private static EngineLoad unread(int tokens) {
		return new EngineLoad(tokens, 0, 0, false);
	}

	private void observeAnswers(int count, double millisPerToken) {
		for (int i = 0; i < count; i++) {
			int tokens = 100 + this.random.nextInt(20_000);
			double noise = 1 + 0.1 * this.random.nextGaussian();
			this.estimator.modelFor(replica("v1"), LARGE)
				.recordFirstEvent(unread(tokens), noise * (5 + millisPerToken * tokens));
		}
	}

	private double probabilityInTime(ReplicaTask task, int tokens) {
		return this.estimator.modelFor(replica("v1"), task)
			.estimate(unread(tokens))
			.probabilityWithin(OBJECTIVE_MILLIS);
	}

	/**
	 * Guards against keeping the small model's answers with low confidence on engines
	 * several times faster than those that the prior comes from, and against expecting of
	 * slower ones what they cannot meet.
	 */
	@ParameterizedTest
	@ValueSource(doubles = { 0.02, 0.1, 0.5 })
	void readSpeedOfAnyEngineIsLearned(double millisPerToken) {
		observeAnswers(60, millisPerToken);
		int justInTime = (int) (OBJECTIVE_MILLIS / millisPerToken);
		assertThat(probabilityInTime(LARGE, (int) (0.7 * justInTime))).isGreaterThan(0.8);
		assertThat(probabilityInTime(LARGE, (int) (1.5 * justInTime))).isLessThan(0.2);
	}

	@Test
	void modelsAreLearnedSeparately() {
		observeAnswers(60, 0.5);
		assertThat(this.estimator.modelFor(replica("v1"), SMALL).estimate(unread(10_000)).expectedMillis())
			.isLessThan(500);
	}

	@Test
	void newReleaseStartsWithTheEstimatesOfThePreviousOne() {
		observeAnswers(60, 0.02);
		double old = this.estimator.modelFor(replica("v1"), LARGE).estimate(unread(10_000)).expectedMillis();
		assertThat(this.estimator.modelFor(replica("v2"), LARGE).estimate(unread(10_000)).expectedMillis())
			.isEqualTo(old);
	}

	@Test
	void uncertaintyShrinksWithObservations() {
		double before = this.estimator.modelFor(replica("v1"), LARGE).estimate(unread(10_000)).deviationMillis();
		observeAnswers(60, 0.1);
		assertThat(this.estimator.modelFor(replica("v1"), LARGE).estimate(unread(10_000)).deviationMillis())
			.isLessThan(before);
	}

	/**
	 * Guards against a few absurd observations that make every later estimate useless.
	 */
	@Test
	void absurdObservationsLeaveEstimatesUsable() {
		for (int i = 0; i < 2000; i++) {
			double exponent = this.random.nextInt(9);
			EngineLoad load = new EngineLoad(this.random.nextInt(Integer.MAX_VALUE), Math.pow(10, exponent),
					this.random.nextInt(100_000), this.random.nextBoolean());
			this.estimator.modelFor(replica("v1"), LARGE)
				.recordFirstEvent(load, this.random.nextDouble() * Math.pow(10, exponent));
			DelayEstimate delay = this.estimator.modelFor(replica("v1"), LARGE)
				.estimate(unread(this.random.nextInt(100_000)));
			assertThat(delay.expectedMillis()).isFinite().isNotNegative();
			assertThat(delay.deviationMillis()).isFinite().isPositive();
		}
		observeAnswers(1000, 0.02);
		assertThat(probabilityInTime(LARGE, 10_000)).isGreaterThan(0.8);
	}

	@Nested
	class AbandonedRequest {

		@Test
		void lowersTheProbabilityIfItWasOverdue() {
			double before = probabilityInTime(LARGE, 1000);
			for (int i = 0; i < 20; i++) {
				DelayEstimatorTests.this.estimator.modelFor(replica("v1"), LARGE)
					.recordNoFirstEvent(unread(1000), 10_000);
			}
			assertThat(probabilityInTime(LARGE, 1000)).isLessThan(before);
		}

		@Test
		void changesNothingIfItWasGivenUpEarly() {
			double before = probabilityInTime(LARGE, 10_000);
			DelayEstimatorTests.this.estimator.modelFor(replica("v1"), LARGE).recordNoFirstEvent(unread(10_000), 1);
			assertThat(probabilityInTime(LARGE, 10_000)).isEqualTo(before);
		}

	}

}
