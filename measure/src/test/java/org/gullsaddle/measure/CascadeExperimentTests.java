package org.gullsaddle.measure;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CascadeExperimentTests {

	/**
	 * All nodes send prompts of all sizes to engines that cannot read all of them by the
	 * largest model.
	 */
	@Nested
	class MoreDoubtedAnswersThanTheLargestModelCanReplace {

		private static final double RATE = 65;

		private static final PromptKind SHORT = PromptKind.ALL.get(2);

		private static final PromptKind MIDDLING = PromptKind.ALL.get(1);

		private final CascadeFleet fleet = CascadeExperiment.play(RATE, 1);

		/** Guards against queues of the largest model that make all answers late. */
		@Test
		void mostOfTheWorthIsEarned() {
			assertThat(this.fleet.earned()).isGreaterThan(0.75);
		}

		/** Guards against the most urgent kind that yields to the least urgent one. */
		@Test
		void mostUrgentKindEarnsNoMuchSmallerPartThanTheLeastUrgent() {
			assertThat(this.fleet.earned(MIDDLING)).isGreaterThan(this.fleet.earned(SHORT) - 0.15);
		}

	}

}
