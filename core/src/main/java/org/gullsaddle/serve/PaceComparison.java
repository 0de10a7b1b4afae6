package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

import org.gullsaddle.fleet.ReplicaId;

/**
 * Compares how often the answers of the old and the new release begin much later than the
 * old release would have begun them, given the prompt and the load of the replica. Rates
 * each answer of the new release as evidence against it. Confined to one thread.
 * <p>
 * A release that takes several times as long fills its replicas' slots with a small share
 * of the requests, so that its load must not excuse it. Short answers that take several
 * times as long still begin within a second, so that no fixed time tells them. What the
 * old release would need tells both, and its own late answers at the same time tell what
 * a burst does to either.
 */
final class PaceComparison {

	/** How many times the expected delay makes an answer late, beyond the margin. */
	private static final double LATE_RATIO = 2;

	private static final double LATE_MARGIN_MILLIS = 100;

	/** The ratio of late answers that is assumed of the old release at first. */
	private static final double PRIOR_LATE_RATIO = 0.15;

	/** The weight of that assumption, as a number of answers. */
	private static final int PRIOR_ANSWERS = 20;

	/** The least weight of one more answer, so that the ratio follows the load. */
	private static final double SMOOTHING = 0.02;

	/** The ratio of late answers that does not make a release bad. */
	private static final double TOLERATED_LATE_RATIO = 0.1;

	/** The ratio of answers in time that a bad release makes late. */
	private static final double BAD_RELEASE_LATE_RATIO = 0.3;

	/**
	 * The time within which late answers of a replica are one event, in milliseconds:
	 * they waited for the same prompt to be read.
	 */
	private static final long SAME_EVENT_MILLIS = 250;

	/**
	 * How long an answer of the old release tells what the new one is compared with, in
	 * milliseconds.
	 */
	private static final long OLD_ANSWER_VALID_MILLIS = 2000;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private double oldLateRatio = PRIOR_LATE_RATIO;

	private int oldAnswers = PRIOR_ANSWERS;

	private long lastOldAnswerAt = NEVER;

	private final Map<ReplicaId, Long> lastLateAt = new HashMap<>();

	/**
	 * Records an answer of the old release.
	 * @param at when it began
	 * @param millis how long it took to begin
	 * @param expectedMillis how long it was expected to take
	 */
	void recordOldAnswer(long at, long millis, double expectedMillis) {
		this.oldAnswers++;
		this.lastOldAnswerAt = at;
		double weight = Math.max(SMOOTHING, 1.0 / this.oldAnswers);
		this.oldLateRatio += weight * ((isLate(millis, expectedMillis) ? 1 : 0) - this.oldLateRatio);
	}

	/**
	 * Returns the evidence of an answer against the new release, as a log likelihood
	 * ratio; negative if it is in its favour. Empty if the answer tells nothing: it
	 * belongs to an event that was counted, or the old release has not answered recently.
	 * @param replica the replica that answered
	 * @param at when the answer began
	 * @param millis how long it took to begin
	 * @param expectedMillis how long the old release would have been expected to take
	 */
	OptionalDouble evidenceOf(ReplicaId replica, long at, long millis, double expectedMillis) {
		if (at - this.lastOldAnswerAt > OLD_ANSWER_VALID_MILLIS) {
			return OptionalDouble.empty();
		}
		boolean late = isLate(millis, expectedMillis);
		if (late && !isNewEvent(replica, at)) {
			return OptionalDouble.empty();
		}
		double good = Math.max(TOLERATED_LATE_RATIO, this.oldLateRatio);
		double bad = good + BAD_RELEASE_LATE_RATIO * (1 - good);
		return OptionalDouble.of(late ? Math.log(bad / good) : Math.log((1 - bad) / (1 - good)));
	}

	private boolean isNewEvent(ReplicaId replica, long at) {
		boolean isNew = at - this.lastLateAt.getOrDefault(replica, NEVER) >= SAME_EVENT_MILLIS;
		if (isNew) {
			this.lastLateAt.put(replica, at);
		}
		return isNew;
	}

	private static boolean isLate(long millis, double expectedMillis) {
		return millis > LATE_RATIO * expectedMillis + LATE_MARGIN_MILLIS;
	}

}
