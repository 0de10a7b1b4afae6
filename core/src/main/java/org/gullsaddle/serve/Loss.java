package org.gullsaddle.serve;

import java.util.List;

import org.gullsaddle.base.Spread;

/**
 * What may be lost of a request's worth at a replica, as a share of that worth. The
 * replica with the least loss is picked. Delays count by the chance that they make the
 * answer late, so that prices and delays are never added up.
 */
public sealed interface Loss {

	/** All losses, as nodes weigh them. */
	List<Loss> ALL = List.of(new Lateness(), new Reading(), new Distance(), new Failures(), new MixedSizes(),
			new Preference());

	/**
	 * Returns the share that is lost.
	 * @param candidate the replica, and what is known of it
	 * @return 0 or more
	 */
	double estimate(ReplicaCandidate candidate);

	/**
	 * The answer may begin too late. Among replicas that are all in time the sooner one
	 * is still a little better: less waits there.
	 */
	record Lateness() implements Loss {

		/** What a late answer loses: teams still have some use for it. */
		private static final double LATE_LOSS = 0.6;

		/**
		 * What waiting until the end of the objective loses: the request itself is in
		 * time, but what waits before it makes others late.
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
	 * Reading a prompt is paid for, and takes the engine's time from others.
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
	 * Bytes between data centers are paid for, most between regions.
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
	 * A replica that failed lately may fail again.
	 */
	record Failures() implements Loss {

		/** What a failed attempt loses: mostly it can be made again. */
		private static final double FAILURE_LOSS = 0.5;

		@Override
		public double estimate(ReplicaCandidate candidate) {
			return FAILURE_LOSS * candidate.failureShare();
		}

	}

	/**
	 * A batch steps at the pace of its slowest model: one request of the largest beside
	 * many of the smallest makes all of them ten times slower, and a long prompt of the
	 * largest holds up the short ones behind it. The more requests there are, the more of
	 * them are slowed; near the engines' limit sizes that mix make the queues grow for
	 * good.
	 */
	record MixedSizes() implements Loss {

		private static final double MIN_LOSS = 0.02;

		private static final double LOSS_PER_REQUEST = 0.04;

		/** How long a prompt may be read until it holds up others, in milliseconds. */
		private static final double SHORT_READ_MILLIS = 100;

		@Override
		public double estimate(ReplicaCandidate candidate) {
			if (candidate.dedicated()) {
				return 0;
			}
			double slowed = Math.max(MIN_LOSS, LOSS_PER_REQUEST * candidate.meanRequests());
			return slowed * Math.max(1, candidate.readMillis() / SHORT_READ_MILLIS);
		}

	}

	/**
	 * Nodes that do not tell each other what is kept where meet at the same replica if
	 * all prefer it for the same parts.
	 */
	record Preference() implements Loss {

		private static final double MAX_LOSS = 0.02;

		@Override
		public double estimate(ReplicaCandidate candidate) {
			List<PromptPart> parts = candidate.task().prompt().parts();
			return parts.isEmpty() ? 0 : MAX_LOSS * Spread.unit(parts.get(0).id() + '/' + candidate.replica().id());
		}

	}

}
