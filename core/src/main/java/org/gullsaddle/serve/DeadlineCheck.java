package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.gullsaddle.fleet.ServiceName;

/**
 * Knows which generations would not even begin before their callers leave, at any replica
 * anywhere. Late answers are worth something too, so that an objective that is missed is
 * no reason. Confined to one thread.
 */
public final class DeadlineCheck {

	/** The chance to begin below which a request counts as lost. */
	private static final double MIN_START_PROBABILITY = 0.05;

	/** How many answers must have begun here for delays to be known. */
	private static final int MIN_ANSWERS = 50;

	/** How long they say something, in milliseconds. */
	private static final long ANSWERS_VALID_MILLIS = 10_000;

	/**
	 * How often one is tried all the same, in milliseconds: where all were refused,
	 * nothing would tell that there is room again.
	 */
	private static final long TRIAL_INTERVAL_MILLIS = 500;

	private final Map<ServiceName, ServiceAnswers> services = new HashMap<>();

	/**
	 * Notes that an answer has begun.
	 * @param now the time in milliseconds
	 * @param service the service
	 */
	public void recordAnswerStarted(long now, ServiceName service) {
		ServiceAnswers known = this.services.computeIfAbsent(service, (missing) -> new ServiceAnswers());
		known.answerCount++;
		known.answeredAt = now;
	}

	/**
	 * Says whether a request is better refused at once.
	 * @param now the time in milliseconds
	 * @param service its service
	 * @param choices all replicas that may run its smallest model
	 * @param leftMillis the time that it has left, in milliseconds
	 * @return true if it would not begin at any of them
	 */
	public boolean shouldRefuse(long now, ServiceName service, List<Choice> choices, long leftMillis) {
		ServiceAnswers known = this.services.get(service);
		if (known == null || !known.isReliable(now) || choices.isEmpty()
				|| !choices.stream().allMatch((choice) -> isTooLate(choice, leftMillis))) {
			return false;
		}
		if (now - known.triedAt >= TRIAL_INTERVAL_MILLIS) {
			known.triedAt = now;
			return false;
		}
		return true;
	}

	/**
	 * Says whether a request would not begin at a replica. One that has nothing to do is
	 * always tried.
	 * @param choice the replica
	 * @param leftMillis the time left, in milliseconds
	 * @return true if it is lost there
	 */
	public static boolean isTooLate(Choice choice, long leftMillis) {
		return choice.load().requests() >= 1 && choice.delay().chanceWithin(leftMillis) < MIN_START_PROBABILITY;
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
