package org.gullsaddle.measure;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class BurstExperimentTests {

	/** The most that a less urgent kind may be ahead, as a part of what it could earn. */
	private static final double AHEAD = 0.15;

	private static final PromptKind LONG = PromptKind.COMPETING.get(0);

	private static final PromptKind LEAST_URGENT = PromptKind.COMPETING.get(1);

	private static final PromptKind MOST_URGENT = PromptKind.COMPETING.get(2);

	/**
	 * The least urgent kind comes 2.4 times as often for six seconds, and a fifth of the
	 * engines is lost in the middle of them.
	 */
	@Nested
	class BurstOfTheLeastUrgentWhileEnginesAreLost {

		/** Guards against the most urgent callers who pay for a burst of others. */
		@ParameterizedTest
		@ValueSource(ints = { 4, 22, 340 })
		void noLessUrgentKindIsFarAhead(int nodes) {
			CascadeFleet fleet = BurstExperiment.play(nodes, true, true, 1);
			assertThat(fleet.earned(MOST_URGENT)).isGreaterThan(fleet.earned(LEAST_URGENT) - AHEAD);
			assertThat(fleet.earned(LONG)).isGreaterThan(fleet.earned(LEAST_URGENT) - AHEAD);
		}

		/** Guards against a queue that outlives the burst. */
		@ParameterizedTest
		@ValueSource(ints = { 4, 22, 340 })
		void nineOfTenAnswersBeginInTimeTwoSecondsAfterIt(int nodes) {
			CascadeFleet fleet = BurstExperiment.play(nodes, true, true, 1);
			assertThat(fleet.inTime(PromptKind.COMPETING, BurstExperiment.ENDS + 2000, BurstExperiment.LAST))
				.isGreaterThan(0.9);
		}

		@Test
		void moreIsEarnedThanWhereRoomIsTakenForUsual() {
			assertThat(BurstExperiment.play(22, true, true, 1).earned())
				.isGreaterThan(BurstExperiment.play(22, false, true, 1).earned());
		}

	}

}
