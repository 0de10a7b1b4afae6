package org.gullsaddle.measure;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class PlacementExperimentTests {

	/** Requests a second, some four fifths of what engines can take. */
	private static final double RATE = 16;

	private static final long SEED = 7;

	/**
	 * Long prompts come at four fifths of what the engines can take, two in five for a
	 * model that takes ten times as long. Spread at random, long answers of the large
	 * model slow all others, parts of prompts are read again everywhere, and more than
	 * half of the callers wait beyond their objective.
	 */
	@Nested
	class NearTheEnginesLimit {

		@Test
		void nearlyAllAreInTimeAsIfTheRouterKnewEveryQueue() {
			double ours = PlacementExperiment.play(EngineFleet.Policy.GULLSADDLE, RATE, SEED).inTime();
			double oracle = PlacementExperiment.play(EngineFleet.Policy.ORACLE, RATE, SEED).inTime();
			assertThat(ours).isGreaterThan(0.97 * oracle);
		}

		@Test
		void sharedPartsAreReadFarLessOftenThanAtRandom() {
			EngineFleet ours = PlacementExperiment.play(EngineFleet.Policy.GULLSADDLE, RATE, SEED);
			EngineFleet random = PlacementExperiment.play(EngineFleet.Policy.RANDOM, RATE, SEED);
			assertThat(ours.readTokens()).isLessThan((long) (0.75 * random.readTokens()));
			assertThat(ours.inTime()).isGreaterThan(1.5 * random.inTime());
		}

	}

	/**
	 * Prompts come as fast as the engines can take them at best. Each queue looks long
	 * enough to send large requests where small ones are at home, and small ones the
	 * other way; every batch then steps at the large model's pace, and within a minute
	 * nobody is in time any more.
	 */
	@Nested
	class AtTheEnginesLimit {

		@Test
		void sizesStayApartAndNearlyAllAreInTime() {
			assertThat(PlacementExperiment.play(EngineFleet.Policy.GULLSADDLE, 20, 7).inTime()).isGreaterThan(0.85);
		}

	}

	/**
	 * Guards against waits that are taken from one engine's figures on another: the
	 * larger model is then not asked where it would be in time, or asked where it is not.
	 */
	@Nested
	class OnEnginesOfAnySpeed {

		@ParameterizedTest
		@ValueSource(doubles = { 0.2, 1, 5 })
		void whatIsToldToBeInTimeIs(double speed) {
			EngineFleet fleet = PlacementExperiment.play(EngineFleet.Policy.GULLSADDLE,
					EngineShape.LARGE_MODELS.faster(speed), RATE * speed, SEED);
			assertThat(fleet.promisesKept()).isGreaterThanOrEqualTo(EngineFleet.LIKELY);
			assertThat(fleet.promised()).isGreaterThanOrEqualTo(EngineFleet.LIKELY * fleet.inTime());
		}

	}

}
