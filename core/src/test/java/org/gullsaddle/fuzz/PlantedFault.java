package org.gullsaddle.fuzz;

/**
 * A fault planted in the wiring around the core, to check that the oracle detects it.
 */
enum PlantedFault {

	NONE(""),

	RUNS_ANOTHER_VERSION("allowed-version"),

	AGENT_IGNORES_TEMPLATE_CHANGES("withdrawn-version"),

	SESSION_PINS_IGNORED("session"),

	RECORDS_LOST("billed-once"),

	CHUNKS_DUPLICATED("whole-answer"),

	FAILURES_CLAIM_NOT_RUN("not-run-is-true"),

	CLAIMS_ALWAYS_GRANTED("at-most-once"),

	DRAIN_IGNORED("leaving"),

	REPORTS_DRAINED_TOO_EARLY("graceful-stop"),

	APPLIES_OLDER_REVISIONS("never-reverts"),

	CRASHES_NOT_REPORTED("poison"),

	REFUSALS_DUPLICATED("one-answer");

	private final String guarantee;

	PlantedFault(String guarantee) {
		this.guarantee = guarantee;
	}

	/**
	 * Returns the guarantee that this fault breaks, as the oracle names it.
	 */
	String guarantee() {
		return this.guarantee;
	}

}
