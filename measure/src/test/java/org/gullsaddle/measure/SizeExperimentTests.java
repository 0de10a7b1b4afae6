package org.gullsaddle.measure;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SizeExperimentTests {

	/**
	 * Guards against queues that grow beside idle engines as ever more nodes choose by
	 * what each saw itself.
	 */
	@Nested
	class ManyNodesBeforeManyEngines {

		private static final int NODES = 33;

		@Test
		void fewerAreLateWhereEnginesAreAsked() {
			assertThat(SizeExperiment.late(EngineFleet.Policy.ASKING, NODES, 1))
				.isLessThan(0.75 * SizeExperiment.late(EngineFleet.Policy.GULLSADDLE, NODES, 1));
		}

		@Test
		void nearlyAllAreInTimeAsIfEveryQueueWereKnown() {
			double asking = SizeExperiment.play(EngineFleet.Policy.ASKING, NODES, 1).inTime();
			double oracle = SizeExperiment.play(EngineFleet.Policy.ORACLE, NODES, 1).inTime();
			assertThat(asking).isGreaterThan(0.95 * oracle);
		}

		@Test
		void atMostThreeEnginesAreAskedForALargePrompt() {
			EngineFleet asking = SizeExperiment.play(EngineFleet.Policy.ASKING, NODES, 1);
			assertThat(asking.asked()).isBetween(1, 3 * asking.largePrompts());
		}

	}

}
