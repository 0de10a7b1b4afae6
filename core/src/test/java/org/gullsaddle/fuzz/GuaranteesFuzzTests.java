package org.gullsaddle.fuzz;

import java.util.function.Supplier;

import net.jqwik.api.AfterFailureMode;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.ActionChainArbitrary;
import net.jqwik.api.state.Transformer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks every guarantee under random orders of killed nodes, cut links, pauses, lost
 * store answers, late writes, races and repeated calls.
 */
class GuaranteesFuzzTests {

	private static final int STEPS = 150;

	@Property(tries = 400, seed = "20261203", shrinking = ShrinkingMode.BOUNDED,
			afterFailure = AfterFailureMode.PREVIOUS_SEED)
	void guaranteesHoldUnderAnyFaults(@ForAll("scenarios") ActionChain<SimulatedCluster> chain) {
		SimulatedCluster world = chain.run();
		assertThat(world.settleAndCheck()).isEmpty();
	}

	@Provide
	Arbitrary<ActionChain<SimulatedCluster>> scenarios() {
		return chains(SimulatedCluster::new);
	}

	static Arbitrary<ActionChain<SimulatedCluster>> chains(Supplier<SimulatedCluster> start) {
		ActionChainArbitrary<SimulatedCluster> chains = ActionChain.startWith(start);
		for (Step step : Step.values()) {
			chains = chains.withAction(step.weight(), action(step));
		}
		return chains.withMaxTransformations(STEPS);
	}

	private static Action.Independent<SimulatedCluster> action(Step step) {
		return () -> Arbitraries.integers()
			.between(0, 999)
			.map((pick) -> Transformer.mutate(step + " " + pick, (world) -> step.apply(world, pick)));
	}

}
