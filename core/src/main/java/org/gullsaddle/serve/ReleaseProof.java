package org.gullsaddle.serve;

import java.util.Optional;

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

	/**
	 * The evidence of when answers began that a proof requires: quick answers of a slow
	 * release come first, so that a few of them prove nothing.
	 */
	private static final double MAX_PACE = -1.5;

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
		return findGap(elapsedRatio).isEmpty();
	}

	/**
	 * Returns what the proof lacks, or empty if the release is proved.
	 * @param elapsedRatio the elapsed time as a ratio of the roll-out's duration
	 */
	Optional<Gap> findGap(double elapsedRatio) {
		if (this.evidence.answerCount() < MIN_ANSWERS) {
			return Optional.of(Gap.ANSWERS);
		}
		if (this.evidence.maxEvidence() >= MAX_EVIDENCE) {
			return Optional.of(Gap.EVIDENCE);
		}
		if (!this.routes.isCovered(MIN_ANSWERS_PER_ROUTE)) {
			return Optional.of(Gap.ROUTES);
		}
		if (this.evidence.pace().orElse(MAX_PACE) > MAX_PACE) {
			return Optional.of(Gap.PACE);
		}
		boolean underLoad = answersUnderLoad() >= MIN_ANSWERS_UNDER_LOAD
				|| (elapsedRatio >= RampUpSchedule.LOAD_TRIAL_END_RATIO && triedLoad() >= this.usage.oldLoad());
		return underLoad ? Optional.empty() : Optional.of(Gap.LOAD);
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

	/**
	 * What a proof lacks.
	 */
	enum Gap {

		/** Enough answers. */
		ANSWERS,

		/** Good answers that outweigh the failures. */
		EVIDENCE,

		/** Enough answers on each route in use. */
		ROUTES,

		/** Enough answers that began in time. */
		PACE,

		/** A trial under as much load as the old release has. */
		LOAD

	}

}
