package org.gullsaddle.serve;

/**
 * Decides whether a new release is proved: whether it answered well on each route in use
 * and under load. Confined to one thread.
 */
final class ReleaseProof {

	private static final int MIN_ANSWERS = 10;

	/** How many answers a proof requires on each route in use. */
	private static final int MIN_ANSWERS_PER_ROUTE = 5;

	/** How many answers of replicas under load a proof requires. */
	private static final int MIN_ANSWERS_UNDER_LOAD = 12;

	/**
	 * The evidence against a release, or against it on any route, from which on it is not
	 * proved although not yet bad: one failure that good answers have not outweighed.
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
	 * Returns whether the release is proved, by the answers known to this node and its
	 * peers.
	 * @param elapsedRatio the elapsed time as a ratio of the roll-out's duration
	 */
	boolean isProved(double elapsedRatio) {
		if (this.evidence.answerCount() < MIN_ANSWERS || this.evidence.maxEvidence() >= MAX_EVIDENCE
				|| !this.routes.isCovered(MIN_ANSWERS_PER_ROUTE)) {
			return false;
		}
		if (answersUnderLoad() >= MIN_ANSWERS_UNDER_LOAD) {
			return true;
		}
		return elapsedRatio >= RampUpSchedule.LOAD_TRIAL_END_RATIO && triedLoad() >= this.usage.oldLoad();
	}

	/**
	 * Returns how many answers any node got from replicas under enough load for a trial.
	 */
	int answersUnderLoad() {
		return this.loadTrial.answersUnderLoad()
				+ this.evidence.notes().stream().mapToInt(RolloutNote::answersUnderLoad).sum();
	}

	/**
	 * Returns the highest load of a replica of the new release that any node reported, as
	 * a ratio of its slots.
	 */
	double triedLoad() {
		double ofPeers = this.evidence.notes().stream().mapToDouble(RolloutNote::triedLoad).max().orElse(0);
		return Math.max(this.loadTrial.triedLoad(), ofPeers);
	}

}
