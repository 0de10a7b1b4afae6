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
public final class Hopeless {

	/** The chance to begin below which a request counts as lost. */
	private static final double LEAST_CHANCE = 0.05;

	/** How many answers must have begun here for delays to be known. */
	private static final int FEWEST_ANSWERS = 50;

	/** How long they say something, in milliseconds. */
	private static final long FRESH_MILLIS = 10_000;

	/**
	 * How often one is tried all the same, in milliseconds: where all were refused,
	 * nothing would tell that there is room again.
	 */
	private static final long TRIAL_MILLIS = 500;

	private final Map<ServiceName, Known> services = new HashMap<>();

	/**
	 * Notes that an answer has begun.
	 * @param now the time in milliseconds
	 * @param service the service
	 */
	public void began(long now, ServiceName service) {
		Known known = this.services.computeIfAbsent(service, (missing) -> new Known());
		known.answers++;
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
	public boolean refuses(long now, ServiceName service, List<ReplicaChoice> choices, long leftMillis) {
		Known known = this.services.get(service);
		if (known == null || !known.enough(now) || choices.isEmpty()
				|| !choices.stream().allMatch((choice) -> lost(choice, leftMillis))) {
			return false;
		}
		if (now - known.triedAt >= TRIAL_MILLIS) {
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
	public static boolean lost(ReplicaChoice choice, long leftMillis) {
		return choice.load().requests() >= 1 && choice.delay().probabilityWithin(leftMillis) < LEAST_CHANCE;
	}

	private static final class Known {

		private int answers;

		private long answeredAt;

		private long triedAt = Long.MIN_VALUE / 2;

		boolean enough(long now) {
			return this.answers >= FEWEST_ANSWERS && now - this.answeredAt <= FRESH_MILLIS;
		}

	}

}
