package org.gullsaddle.serve;

/**
 * How long answers of one service, model and release take to begin, learned from those
 * that were seen. Confined to one thread.
 */
final class DelayModel {

	private static final double TOKENS_PER_UNIT = 1000;

	/**
	 * What is expected of a generation before any was seen, in milliseconds: a
	 * connection's time, the reading of 1,000 tokens by the smallest model, the same for
	 * prompts before it, one more request in the batch, and the way to another region and
	 * back.
	 */
	private static final double[] GENERATION_PRIOR = { 10, 8, 8, 3, 90 };

	private static final double[] GENERATION_DEVIATIONS = { 20, 8, 8, 5, 60 };

	/**
	 * The same of a call to a plain service: its work, nothing to read, the work of all
	 * slots before it, one more request, and the way to another region and back.
	 */
	private static final double[] CALL_PRIOR = { 40, 0, 60, 1, 90 };

	private static final double[] CALL_DEVIATIONS = { 40, 1, 60, 3, 60 };

	private static final int READ_COEFFICIENT = 1;

	/** The noise of a delay: a part of a step, and a share of the whole. */
	private static final double NOISE_MILLIS = 15;

	private static final double NOISE_RATIO = 0.3;

	private final OnlineRegression regression;

	/** What a backlog is counted in. */
	private final double backlogUnit;

	private DelayModel(OnlineRegression relation, double backlogUnit) {
		this.regression = relation;
		this.backlogUnit = backlogUnit;
	}

	static DelayModel forCalls() {
		return new DelayModel(new OnlineRegression(CALL_PRIOR, CALL_DEVIATIONS), 1);
	}

	/**
	 * Begins with what is expected of a model.
	 * @param pace how many times longer it takes over a token than the smallest
	 */
	static DelayModel forGenerations(double pace) {
		double[] prior = GENERATION_PRIOR.clone();
		double[] deviations = GENERATION_DEVIATIONS.clone();
		prior[READ_COEFFICIENT] *= pace;
		deviations[READ_COEFFICIENT] *= pace;
		return new DelayModel(new OnlineRegression(prior, deviations), TOKENS_PER_UNIT);
	}

	/**
	 * Returns a model that expects what this one does, and has yet to learn.
	 */
	DelayModel asPrior() {
		return new DelayModel(this.regression.asPrior(), this.backlogUnit);
	}

	/**
	 * Returns how long the first event takes.
	 */
	DelayEstimate estimate(EngineLoad load) {
		double[] features = features(load);
		double expected = this.regression.predict(features);
		return new DelayEstimate(expected, this.regression.predictiveDeviation(features, noise(expected)));
	}

	/**
	 * Returns how long tokens take to be read, in milliseconds.
	 */
	double readMillis(int tokens) {
		return this.regression.coefficient(READ_COEFFICIENT) * tokens / TOKENS_PER_UNIT;
	}

	/**
	 * Learns how long a first event took.
	 */
	void recordFirstEvent(EngineLoad load, double millis) {
		double[] features = features(load);
		this.regression.learn(features, millis, noise(this.regression.predict(features)));
	}

	/**
	 * Learns that a first event had not come yet when the request was given up, which
	 * says something only if it was expected by then.
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
