package org.gullsaddle.serve;

/**
 * Whether a new release has been tried at what it is to get: answers on each route in
 * use, and load. Confined to one thread.
 */
final class ReleaseProof {

	private static final int MIN_ANSWERS = 10;

	/** How many answers on each route in use a proof takes. */
	private static final int MIN_ANSWERS_PER_ROUTE = 5;

	/** How many answers of replicas under load a proof takes. */
	private static final int MIN_ANSWERS_UNDER_LOAD = 12;

	/**
	 * Evidence against a release, or against it on any route, by which it is not proved,
	 * though not bad either: one failure that good answers have not outweighed.
	 */
	private static final double MAX_EVIDENCE = 1.5;

	private final PooledEvidence evidence;

	private final RouteCoverage routes;

	private final LoadTrial loadTrial;

	private final ReleaseUsage usage;

	ReleaseProof(PooledEvidence evidence, RouteCoverage routes, LoadTrial loadTrial, ReleaseUsage use) {
		this.evidence = evidence;
		this.routes = routes;
		this.loadTrial = loadTrial;
		this.usage = use;
	}

	/**
	 * Says whether the release is proved, as far as this node and the others know.
	 * @param part the part of the roll-out's time that has passed
	 */
	boolean isProved(double part) {
		if (this.evidence.answerCount() < MIN_ANSWERS || this.evidence.maxEvidence() >= MAX_EVIDENCE
				|| !this.routes.isCovered(MIN_ANSWERS_PER_ROUTE)) {
			return false;
		}
		if (answersUnderLoad() >= MIN_ANSWERS_UNDER_LOAD) {
			return true;
		}
		return part >= RampUpSchedule.LOAD_TRIAL_END_RATIO && triedLoad() >= this.usage.oldLoad();
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
