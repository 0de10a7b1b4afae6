package org.gullsaddle.measure;

import java.util.stream.LongStream;

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

		/** So many that a plan of arrivals that suits one policy does not decide. */
		private static final long SEEDS = 8;

		private static double late(EngineFleet.Policy policy) {
			return LongStream.rangeClosed(1, SEEDS)
				.mapToDouble((seed) -> 1 - SizeExperiment.play(policy, NODES, seed).inTime())
				.average()
				.orElseThrow();
		}

		@Test
		void fewerAreLateWhereEnginesAreAsked() {
			assertThat(late(EngineFleet.Policy.ASKING)).isLessThan(0.75 * late(EngineFleet.Policy.GULLSADDLE));
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
