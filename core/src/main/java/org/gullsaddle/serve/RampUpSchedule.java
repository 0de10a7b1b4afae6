package org.gullsaddle.serve;

/**
 * The schedule by which the share of a new release rises. All times are ratios of the
 * roll-out's duration, so that nodes agree without asking each other.
 * <p>
 * At first the share is small. Sessions are admitted from the middle on. Among requests
 * without a session, the share rises first on the routes with the smallest prompts, to
 * try the release under load. A proved release gets all requests, late enough for every
 * node to have read of the proof.
 */
final class RampUpSchedule {

	/** From when sessions may be served by the new release. */
	static final double SESSIONS_START_RATIO = 0.505;

	/** From when a proof is accepted with fewer answers under load than required. */
	static final double LOAD_TRIAL_END_RATIO = 0.58;

	/** Until when a proof leaves enough time for the ramp-up. */
	static final double LATEST_PROOF_RATIO = 0.75;

	/**
	 * The earliest completion. Requests that still run on old replicas are cut off then,
	 * so this is late, but it leaves time to write the state in an outage of the store.
	 */
	static final double EARLIEST_COMPLETION_RATIO = 0.86;

	/** The latest completion of a release that gets all requests. */
	static final double LATEST_COMPLETION_RATIO = 0.945;

	/** A release that does not serve all requests by then is rolled back. */
	static final double ROLL_BACK_RATIO = 0.96;

	/**
	 * The earliest ramp-up, however soon the release is proved: a release that turns bad
	 * late does less harm with a small share.
	 */
	private static final double EARLIEST_RAMP_UP_RATIO = 0.6;

	/** How long a proof may take to be known to all nodes. */
	static final double PROOF_PROPAGATION_RATIO = 0.085;

	/** From when requests without a session are used to try the release under load. */
	private static final double LOAD_TRIAL_START_RATIO = 0.3;

	/**
	 * The initial share of the new release: enough for some answers a second, and half of
	 * what a bad release may get.
	 */
	private static final double CANARY_SHARE = 0.08;

	/**
	 * The share of requests without a session during the load trial, except on the routes
	 * with the smallest prompts.
	 */
	private static final double TRIAL_SHARE = 0.25;

	/** The share of sessions when they are first admitted. */
	private static final double INITIAL_SESSION_SHARE = 0.25;

	/**
	 * The later share of sessions. With this share until the latest proof, a release
	 * stays within its allowance, in normal traffic and in a burst of some seconds. An
	 * admitted session cannot be sent back.
	 */
	private static final double SESSION_SHARE = 0.4;

	/** From when the later share of sessions applies. */
	private static final double MORE_SESSIONS_START_RATIO = 0.54;

	/** The share on the routes with the smallest prompts when the load trial begins. */
	private static final double INITIAL_LOAD_TRIAL_SHARE = 0.5;

	/** The time in which that share doubles. */
	private static final double LOAD_TRIAL_DOUBLING_RATIO = 0.02;

	/**
	 * How long all requests go to the release before the completion, if there is time;
	 * until the ramp-up, requests with small prompts try it under load.
	 */
	private static final double MIN_FULL_TRAFFIC_RATIO = 0.08;

	private RampUpSchedule() {
	}

	/**
	 * Returns the share of sessions for a release that is not proved. It is the same on
	 * all routes, because a session may use several.
	 * @param elapsedRatio the elapsed time as a ratio of the duration
	 */
	static double unprovedSessionShare(double elapsedRatio) {
		if (elapsedRatio < SESSIONS_START_RATIO) {
			return 0;
		}
		return (elapsedRatio < MORE_SESSIONS_START_RATIO) ? INITIAL_SESSION_SHARE : SESSION_SHARE;
	}

	/**
	 * Returns the share of requests without a session for a release that is not proved.
	 * @param elapsedRatio the elapsed time as a ratio of the duration
	 * @param smallest whether the route's prompts are among the smallest
	 */
	static double unprovedRequestShare(double elapsedRatio, boolean smallest) {
		if (elapsedRatio < LOAD_TRIAL_START_RATIO) {
			return CANARY_SHARE;
		}
		return smallest
				? Math.min(1,
						INITIAL_LOAD_TRIAL_SHARE
								* Math.pow(2, (elapsedRatio - LOAD_TRIAL_START_RATIO) / LOAD_TRIAL_DOUBLING_RATIO))
				: TRIAL_SHARE;
	}

	/**
	 * Returns when the roll-out of a proved release is completed, as a ratio of the
	 * duration.
	 * @param provedAt when the release was proved, as a ratio of the duration
	 */
	static double completionRatio(double provedAt) {
		return Math.max(EARLIEST_COMPLETION_RATIO, rampUpStartRatio(provedAt) + MIN_FULL_TRAFFIC_RATIO);
	}

	private static double rampUpStartRatio(double provedAt) {
		return Math.max(EARLIEST_RAMP_UP_RATIO, provedAt + PROOF_PROPAGATION_RATIO);
	}

	/**
	 * Returns the share of a proved release.
	 * @param elapsedRatio the elapsed time as a ratio of the duration
	 * @param provedAt when the release was proved, as a ratio of the duration
	 */
	static double provedShare(double elapsedRatio, double provedAt) {
		return (elapsedRatio < rampUpStartRatio(provedAt)) ? 0 : 1;
	}

}
