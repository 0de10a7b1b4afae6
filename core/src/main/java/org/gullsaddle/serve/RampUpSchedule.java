package org.gullsaddle.serve;

/**
 * How the share of a new release rises. All times are parts of the roll-out's time, so
 * that nodes agree without asking each other.
 * <p>
 * At first the share is small. Sessions are let in from the middle on. Of the requests
 * without one those of the routes with the smallest prompts rise first, to try the
 * release under load. Once it is proved it gets all requests, so much later that each
 * node has heard of it.
 */
final class RampUpSchedule {

	/** When sessions may go to the new release. */
	static final double SESSIONS_START_RATIO = 0.505;

	/** When a proof is accepted that was not tried under as much load as it should be. */
	static final double LOAD_TRIAL_END_RATIO = 0.58;

	/** Until when a proof leaves enough time for the share to rise. */
	static final double LATEST_PROOF_RATIO = 0.75;

	/**
	 * When the roll-out ends well: what runs on old replicas is cut off then, so late,
	 * but with time left to write the state in an outage.
	 */
	static final double EARLIEST_COMPLETION_RATIO = 0.86;

	/** When it ends at the latest if all requests go to the release. */
	static final double LATEST_COMPLETION_RATIO = 0.945;

	/** What is not served by the new release alone by then is taken back. */
	static final double ROLL_BACK_RATIO = 0.96;

	/**
	 * When the share rises at the earliest, however soon the release is proved: one that
	 * turns bad late is better found out with a small share.
	 */
	private static final double EARLIEST_RAMP_UP_RATIO = 0.6;

	/** How long news of a proof may take to all nodes. */
	static final double PROOF_PROPAGATION_RATIO = 0.085;

	/** When requests without a session are used to try the release under load. */
	private static final double LOAD_TRIAL_START_RATIO = 0.3;

	/**
	 * The share of the new release at first: enough for some answers a second, and half
	 * of what a bad one may get.
	 */
	private static final double CANARY_SHARE = 0.08;

	/** The share of requests without a session while the release is tried. */
	private static final double TRIAL_SHARE = 0.25;

	/** The share of sessions when the trial begins. */
	private static final double INITIAL_SESSION_SHARE = 0.25;

	/**
	 * The share of sessions soon after. With it until the latest proof a release keeps to
	 * its allowance, by itself and in a burst of some seconds: a session that was let in
	 * cannot be sent back.
	 */
	private static final double SESSION_SHARE = 0.4;

	/** When it is that large. */
	private static final double MORE_SESSIONS_START_RATIO = 0.54;

	/** The share of the routes that are tried under load when that begins. */
	private static final double INITIAL_LOAD_TRIAL_SHARE = 0.5;

	/** In which time that share doubles. */
	private static final double LOAD_TRIAL_DOUBLING_RATIO = 0.02;

	/**
	 * How long all requests go to the release before the roll-out ends, if there is time:
	 * those with small prompts try it under load until then.
	 */
	private static final double MIN_FULL_TRAFFIC_RATIO = 0.08;

	private RampUpSchedule() {
	}

	/**
	 * Returns the share of sessions of a release that is not proved. It is the same for
	 * all routes, as a session may use several.
	 * @param part the time
	 */
	static double unprovedSessionShare(double part) {
		if (part < SESSIONS_START_RATIO) {
			return 0;
		}
		return (part < MORE_SESSIONS_START_RATIO) ? INITIAL_SESSION_SHARE : SESSION_SHARE;
	}

	/**
	 * Returns the share of requests without a session of a release that is not proved.
	 * @param part the time
	 * @param smallest whether the route's prompts are among the smallest
	 */
	static double unprovedRequestShare(double part, boolean smallest) {
		if (part < LOAD_TRIAL_START_RATIO) {
			return CANARY_SHARE;
		}
		return smallest
				? Math.min(1,
						INITIAL_LOAD_TRIAL_SHARE
								* Math.pow(2, (part - LOAD_TRIAL_START_RATIO) / LOAD_TRIAL_DOUBLING_RATIO))
				: TRIAL_SHARE;
	}

	/**
	 * Returns when the roll-out of a release that was proved ends.
	 * @param provedAt when it was proved
	 */
	static double completionRatio(double provedAt) {
		return Math.max(EARLIEST_COMPLETION_RATIO, rampUpStartRatio(provedAt) + MIN_FULL_TRAFFIC_RATIO);
	}

	private static double rampUpStartRatio(double provedAt) {
		return Math.max(EARLIEST_RAMP_UP_RATIO, provedAt + PROOF_PROPAGATION_RATIO);
	}

	/**
	 * Returns the share of a release that was proved.
	 * @param part the time
	 * @param provedAt when
	 */
	static double provedShare(double part, double provedAt) {
		return (part < rampUpStartRatio(provedAt)) ? 0 : 1;
	}

}
