package org.gullsaddle.fuzz;

/**
 * A fault planted in the wiring around the core, to see that the oracle can fail.
 */
enum Plant {

	NONE(""),

	RUNS_ANOTHER_VERSION("allowed-version"),

	AGENT_HEARS_NO_CHANGES("withdrawn-version"),

	PINS_ARE_NOT_KEPT("session"),

	RECORDS_ARE_LOST("billed-once"),

	PARTS_ARE_DOUBLED("whole-answer"),

	FAILURES_CLAIM_NOT_RUN("not-run-is-true"),

	CLAIMS_ALWAYS_GRANTED("at-most-once"),

	DRAIN_IS_IGNORED("leaving"),

	DRAINED_TOO_EARLY("graceful-stop"),

	CONFIGURATION_FOLLOWS_ARRIVAL("never-reverts"),

	CRASHES_ARE_NOT_TOLD("poison"),

	REFUSALS_ARE_DOUBLED("one-answer");

	private final String guarantee;

	Plant(String guarantee) {
		this.guarantee = guarantee;
	}

	/**
	 * Returns the guarantee that it breaks.
	 */
	String guarantee() {
		return this.guarantee;
	}

}
