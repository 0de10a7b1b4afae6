package org.gullsaddle.serve;

import java.util.List;

import org.gullsaddle.base.KeyHash;

/**
 * An expected loss of sending a request to a replica, as a share of the request's value.
 * The replica with the smallest sum is selected. Delays count by the probability that
 * they make the answer late, so prices and delays are never added directly.
 */
public sealed interface Loss {

	/** All losses that nodes consider. */
	List<Loss> ALL = List.of(new Lateness(), new Reading(), new Distance(), new Failures(), new MixedSizes(),
			new Preference());

	/**
	 * Estimates the share that is lost.
	 * @param candidate the replica with what is known about it
	 * @return 0 or more
	 */
	double estimate(ReplicaCandidate candidate);

	/**
	 * The answer may begin too late. Among replicas that are all in time, a sooner one is
	 * preferred slightly: fewer requests wait there.
	 */
	record Lateness() implements Loss {

		/** The loss of a late answer, which is still of some use to teams. */
		private static final double LATE_LOSS = 0.6;

		/**
		 * The loss of a wait as long as the whole objective: this request is in time, but
		 * the queue before it makes others late.
		 */
		private static final double WAITING_LOSS = 0.5;

		@Override
		public double estimate(ReplicaCandidate candidate) {
			double objective = Math.max(1, candidate.task().objectiveMillis());
			double late = 1 - candidate.delay().probabilityWithin(objective);
			double waiting = Math.min(1, candidate.delay().expectedMillis() / objective);
			return LATE_LOSS * late + WAITING_LOSS * waiting;
		}

	}

	/**
	 * Reading a prompt costs money and delays the engine's other requests.
	 */
	record Reading() implements Loss {

		/** The price of a token that the smallest model reads. */
		private static final double LOSS_PER_TOKEN = 1e-6;

		@Override
		public double estimate(ReplicaCandidate candidate) {
			return LOSS_PER_TOKEN * candidate.load().unreadTokens() * candidate.task().slowdown();
		}

	}

	/**
	 * Traffic between data centers costs money, most of all between regions.
	 */
	record Distance() implements Loss {

		private static final double OTHER_DATA_CENTER_LOSS = 0.005;

		private static final double OTHER_REGION_LOSS = 0.03;

		@Override
		public double estimate(ReplicaCandidate candidate) {
			return switch (candidate.distance()) {
				case SAME_DATA_CENTER -> 0;
				case SAME_REGION -> OTHER_DATA_CENTER_LOSS;
				case OTHER_REGION -> OTHER_REGION_LOSS;
			};
		}

	}

	/**
	 * A replica that failed recently may fail again.
	 */
	record Failures() implements Loss {

		/** The loss of a failed attempt, which can mostly be retried. */
		private static final double FAILURE_LOSS = 0.5;

		@Override
		public double estimate(ReplicaCandidate candidate) {
			return FAILURE_LOSS * candidate.failureShare();
		}

	}

	/**
	 * Engines run requests in batches, and each step takes as long as its slowest model:
	 * one request of the largest model makes many of the smallest ten times slower, and a
	 * long prompt of the largest delays the short ones behind it. The more requests there
	 * are, the more of them are slowed; near the engines' limit, mixed sizes make the
	 * queues grow without bound.
	 */
	record MixedSizes() implements Loss {

		private static final double MIN_LOSS = 0.02;

		private static final double LOSS_PER_REQUEST = 0.04;

		/** Reading a prompt for longer than this delays other requests. */
		private static final double SHORT_READ_MILLIS = 100;

		@Override
		public double estimate(ReplicaCandidate candidate) {
			if (candidate.dedicated()) {
				return 0;
			}
			double loss = Math.max(MIN_LOSS, LOSS_PER_REQUEST * candidate.meanRequests());
			return loss * Math.max(1, candidate.readMillis() / SHORT_READ_MILLIS);
		}

	}

	/**
	 * Gives nodes, which do not exchange the contents of prompt caches, the same
	 * preferred replica for the same prompt parts.
	 */
	record Preference() implements Loss {

		private static final double MAX_LOSS = 0.02;

		@Override
		public double estimate(ReplicaCandidate candidate) {
			List<PromptPart> parts = candidate.task().prompt().parts();
			return parts.isEmpty() ? 0
					: MAX_LOSS * KeyHash.toUnitInterval(parts.get(0).id() + '/' + candidate.replica().id());
		}

	}

}
