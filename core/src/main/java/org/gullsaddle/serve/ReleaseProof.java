package org.gullsaddle.serve;

/**
 * Whether a new release has been tried at what it is to get: answers on each route in
 * use, and load. Confined to one thread.
 */
final class ReleaseProof {

	private static final int ENOUGH_ANSWERS = 10;

	/** How many answers on each route in use a proof takes. */
	private static final int ENOUGH_ON_A_ROUTE = 5;

	/** How many answers of replicas under load a proof takes. */
	private static final int ENOUGH_UNDER_LOAD = 12;

	/**
	 * Evidence against a release, or against it on any route, by which it is not proved,
	 * though not bad either: one failure that good answers have not outweighed.
	 */
	private static final double DOUBT = 1.5;

	private final PooledEvidence evidence;

	private final TriedRoutes routes;

	private final LoadTrial loadTrial;

	private final ReleaseUse use;

	ReleaseProof(PooledEvidence evidence, TriedRoutes routes, LoadTrial loadTrial, ReleaseUse use) {
		this.evidence = evidence;
		this.routes = routes;
		this.loadTrial = loadTrial;
		this.use = use;
	}

	/**
	 * Says whether the release is proved, as far as this node and the others know.
	 * @param part the part of the roll-out's time that has passed
	 */
	boolean stands(double part) {
		if (this.evidence.answers() < ENOUGH_ANSWERS || this.evidence.most() >= DOUBT
				|| !this.routes.tried(ENOUGH_ON_A_ROUTE)) {
			return false;
		}
		if (answersUnderLoad() >= ENOUGH_UNDER_LOAD) {
			return true;
		}
		return part >= ReleaseRamp.LATEST_TRIAL && triedLoad() >= this.use.formerLoad();
	}

	/**
	 * Returns how many requests were answered, at any node, that came to a replica which
	 * ran as much as a trial takes.
	 */
	int answersUnderLoad() {
		return this.loadTrial.answersUnderLoad()
				+ this.evidence.notes().stream().mapToInt(RolloutNote::answersUnderLoad).sum();
	}

	/**
	 * Returns the most that ran at once at a replica of the new release, by any node's
	 * word, as a part of its slots.
	 */
	double triedLoad() {
		double others = this.evidence.notes().stream().mapToDouble(RolloutNote::triedLoad).max().orElse(0);
		return Math.max(this.loadTrial.triedLoad(), others);
	}

}
