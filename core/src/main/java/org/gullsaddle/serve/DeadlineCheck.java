package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.gullsaddle.fleet.ServiceName;

/**
 * Decides which generations to refuse because they would not start before their deadline
 * on any replica in any region. A missed latency objective is no reason, because a late
 * answer still has some value. Confined to one thread.
 */
public final class DeadlineCheck {

	/** The probability of a start in time below which a request counts as too late. */
	private static final double MIN_START_PROBABILITY = 0.05;

	/** How many answers must have started at this node for the delays to be known. */
	private static final int MIN_ANSWERS = 50;

	/** How long answers count, in milliseconds. */
	private static final long ANSWERS_VALID_MILLIS = 10_000;

	/**
	 * How often a request that is too late is let through, in milliseconds: if all were
	 * refused, no answer would show that there is capacity again.
	 */
	private static final long TRIAL_INTERVAL_MILLIS = 500;

	private final Map<ServiceName, ServiceAnswers> services = new HashMap<>();

	/**
	 * Records the start of an answer.
	 * @param now the time in milliseconds
	 * @param service the service
	 */
	public void recordAnswerStarted(long now, ServiceName service) {
		ServiceAnswers answers = this.services.computeIfAbsent(service, (missing) -> new ServiceAnswers());
		answers.answerCount++;
		answers.answeredAt = now;
	}

	/**
	 * Returns whether a request should be refused at once.
	 * @param now the time in milliseconds
	 * @param service its service
	 * @param choices all replicas that may run its smallest model
	 * @param remainingMillis the time to its deadline, in milliseconds
	 * @return true if it would not start in time on any of them
	 */
	public boolean shouldRefuse(long now, ServiceName service, List<ReplicaChoice> choices, long remainingMillis) {
		ServiceAnswers answers = this.services.get(service);
		if (answers == null || !answers.isReliable(now) || choices.isEmpty()
				|| !choices.stream().allMatch((choice) -> isTooLate(choice, remainingMillis))) {
			return false;
		}
		if (now - answers.triedAt >= TRIAL_INTERVAL_MILLIS) {
			answers.triedAt = now;
			return false;
		}
		return true;
	}

	/**
	 * Returns whether a request would probably start too late on a replica. An idle
	 * replica is always tried.
	 * @param choice the replica
	 * @param remainingMillis the time to its deadline, in milliseconds
	 * @return true if the replica is not idle and a start in time is improbable
	 */
	public static boolean isTooLate(ReplicaChoice choice, long remainingMillis) {
		return choice.load().requests() >= 1
				&& choice.delay().probabilityWithin(remainingMillis) < MIN_START_PROBABILITY;
	}

	/**
	 * Drops the services that are no longer configured.
	 * @param known the services to keep
	 */
	public void retain(Set<ServiceName> known) {
		this.services.keySet().retainAll(known);
	}

	private static final class ServiceAnswers {

		private int answerCount;

		private long answeredAt;

		private long triedAt = Long.MIN_VALUE / 2;

		boolean isReliable(long now) {
			return this.answerCount >= MIN_ANSWERS && now - this.answeredAt <= ANSWERS_VALID_MILLIS;
		}

	}

}
