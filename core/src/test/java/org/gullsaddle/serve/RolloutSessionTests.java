package org.gullsaddle.serve;

import java.util.function.UnaryOperator;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.gullsaddle.fleet.RolloutState;

import static org.assertj.core.api.Assertions.assertThat;

/** Sessions keep their release through a good roll-out, whichever nodes they reach. */
class RolloutSessionTests {

	private static final int LIVE = 24;

	private static final int SEEDS = Integer.getInteger("rollout.seeds", 10);

	/**
	 * How many requests may run on another release than the one before in their session.
	 */
	private static final int ALLOWED = 3;

	private static void keeps(long duration, int nodes, UnaryOperator<RolloutModel> setup) {
		for (int seed = 0; seed < SEEDS; seed++) {
			RolloutModel model = setup.apply(new RolloutModel(RolloutModel.Fault.NONE, duration, nodes, seed));
			model.run();
			assertThat(model.movedBackCount()).as("seed " + seed).isLessThanOrEqualTo(ALLOWED);
			assertThat(model.tooEarlyCount()).as("seed " + seed).isZero();
			assertThat(model.state()).as("seed " + seed).isEqualTo(RolloutState.COMPLETED);
		}
	}

	/** Guards against sessions moved because a node has used up its allowance. */
	@ParameterizedTest
	@CsvSource({ "24000, 1", "24000, 4", "24000, 22", "16000, 22", "10000, 4", "10000, 22" })
	void sessionOnOneRouteNeverGoesBack(long duration, int nodes) {
		keeps(duration, nodes, (model) -> model.withSessions(LIVE, false));
	}

	/** Guards against a share of the new release that differs from route to route. */
	@ParameterizedTest
	@CsvSource({ "24000, 4", "24000, 22", "10000, 4" })
	void sessionOnTwoRoutesNeverGoesBack(long duration, int nodes) {
		keeps(duration, nodes, (model) -> model.withSessions(LIVE, true));
	}

	/**
	 * Guards against nodes that count the elapsed time from when they learned of the
	 * order.
	 */
	@ParameterizedTest
	@CsvSource({ "24000, 4", "24000, 22", "10000, 22" })
	void nodesThatLearnOfTheOrderOneAfterAnotherAgree(long duration, int nodes) {
		keeps(duration, nodes, (model) -> model.withSessions(LIVE, false).learnOrderAtDifferentTimes());
	}

	/** Guards against a node that starts during a roll-out and takes it for a new one. */
	@Test
	void nodesThatStartInTheMiddleAgree() {
		keeps(24_000, 4, (model) -> model.withSessions(LIVE, false).restart(1, 0.55).restart(2, 0.65).restart(3, 0.8));
	}

	/** Guards against a burst that uses up the allowance while sessions are admitted. */
	@Test
	void burstInTheTrialMovesNoSession() {
		keeps(24_000, 4, (model) -> model.withSessions(LIVE, false).burst(2, 0.55, 0.7));
	}

}
