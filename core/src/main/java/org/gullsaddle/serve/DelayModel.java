package org.gullsaddle.serve;

/**
 * Models how long answers of one service, model and release take to begin, learned from
 * observed answers. Confined to one thread.
 */
final class DelayModel {

	private static final double TOKENS_PER_UNIT = 1000;

	/**
	 * The expected delays of a generation before any observation, in milliseconds: for a
	 * connection, for the smallest model to read 1,000 tokens, for 1,000 tokens of
	 * prompts before it, for each other request in the batch, and for the round trip to
	 * another region.
	 */
	private static final double[] GENERATION_PRIOR = { 10, 8, 8, 3, 90 };

	private static final double[] GENERATION_DEVIATIONS = { 20, 8, 8, 5, 60 };

	/**
	 * The expected delays of a call to a plain service: for its work, nothing to read,
	 * for the work of all slots before it, for each other request, and for the round trip
	 * to another region.
	 */
	private static final double[] CALL_PRIOR = { 40, 0, 60, 1, 90 };

	private static final double[] CALL_DEVIATIONS = { 40, 1, 60, 3, 60 };

	private static final int READ_COEFFICIENT = 1;

	/**
	 * The noise of a delay: a constant part for the engine's steps, and a share of the
	 * expected delay.
	 */
	private static final double NOISE_MILLIS = 15;

	private static final double NOISE_RATIO = 0.3;

	private final OnlineRegression regression;

	/** The unit that a backlog is counted in. */
	private final double backlogUnit;

	private DelayModel(OnlineRegression regression, double backlogUnit) {
		this.regression = regression;
		this.backlogUnit = backlogUnit;
	}

	static DelayModel forCalls() {
		return new DelayModel(new OnlineRegression(CALL_PRIOR, CALL_DEVIATIONS), 1);
	}

	/**
	 * Creates a model that starts with the expected delays of generations.
	 * @param slowdown how many times longer the model takes over a token than the
	 * smallest
	 */
	static DelayModel forGenerations(double slowdown) {
		double[] prior = GENERATION_PRIOR.clone();
		double[] deviations = GENERATION_DEVIATIONS.clone();
		prior[READ_COEFFICIENT] *= slowdown;
		deviations[READ_COEFFICIENT] *= slowdown;
		return new DelayModel(new OnlineRegression(prior, deviations), TOKENS_PER_UNIT);
	}

	/**
	 * Returns a model that starts with this one's estimates, and is uncertain of them.
	 */
	DelayModel asPrior() {
		return new DelayModel(this.regression.asPrior(), this.backlogUnit);
	}

	/**
	 * Estimates the delay of a first event.
	 */
	DelayEstimate estimate(EngineLoad load) {
		double[] features = features(load);
		double expected = this.regression.predict(features);
		return new DelayEstimate(expected, this.regression.predictiveDeviation(features, noise(expected)));
	}

	/**
	 * Returns how long it takes to read tokens, in milliseconds.
	 */
	double readMillis(int tokens) {
		return this.regression.coefficient(READ_COEFFICIENT) * tokens / TOKENS_PER_UNIT;
	}

	/**
	 * Records the delay of a first event.
	 */
	void recordFirstEvent(EngineLoad load, double millis) {
		double[] features = features(load);
		this.regression.learn(features, millis, noise(this.regression.predict(features)));
	}

	/**
	 * Records that a request was given up before its first event. That is informative
	 * only if the event was overdue.
	 */
	void recordNoFirstEvent(EngineLoad load, double millis) {
		if (millis > this.regression.predict(features(load))) {
			recordFirstEvent(load, millis);
		}
	}

	private double[] features(EngineLoad load) {
		return new double[] { 1, load.unreadTokens() / TOKENS_PER_UNIT, load.backlog() / this.backlogUnit,
				load.requests(), load.otherRegion() ? 1 : 0 };
	}

	private static double noise(double expected) {
		return NOISE_MILLIS + NOISE_RATIO * expected;
	}

}
