package org.gullsaddle.serve;

import java.util.List;

import org.gullsaddle.base.KeyHash;

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
	double of(Candidate candidate);

	/**
	 * The answer may begin too late. Among replicas that are all in time the sooner one
	 * is still a little better: less waits there.
	 */
	record Lateness() implements Loss {

		/** What a late answer loses: teams still have some use for it. */
		private static final double LATE = 0.6;

		/**
		 * What waiting until the end of the objective loses: the request itself is in
		 * time, but what waits before it makes others late.
		 */
		private static final double WAITING = 0.5;

		@Override
		public double of(Candidate candidate) {
			double objective = Math.max(1, candidate.task().objectiveMillis());
			double late = 1 - candidate.delay().chanceWithin(objective);
			double waiting = Math.min(1, candidate.delay().expectedMillis() / objective);
			return LATE * late + WAITING * waiting;
		}

	}

	/**
	 * Reading a prompt is paid for, and takes the engine's time from others.
	 */
	record Reading() implements Loss {

		/** The price of a token that the smallest model reads. */
		private static final double TOKEN = 1e-6;

		@Override
		public double of(Candidate candidate) {
			return TOKEN * candidate.load().unreadTokens() * candidate.task().pace();
		}

	}

	/**
	 * Bytes between data centers are paid for, most between regions.
	 */
	record Distance() implements Loss {

		private static final double OTHER_DATA_CENTER = 0.005;

		private static final double OTHER_REGION = 0.03;

		@Override
		public double of(Candidate candidate) {
			return switch (candidate.reach()) {
				case DATA_CENTER -> 0;
				case REGION -> OTHER_DATA_CENTER;
				case FAR -> OTHER_REGION;
			};
		}

	}

	/**
	 * A replica that failed lately may fail again.
	 */
	record Failures() implements Loss {

		/** What a failed attempt loses: mostly it can be made again. */
		private static final double FAILED = 0.5;

		@Override
		public double of(Candidate candidate) {
			return FAILED * candidate.failureShare();
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

		private static final double LEAST = 0.02;

		private static final double REQUEST = 0.04;

		/** How long a prompt may be read until it holds up others, in milliseconds. */
		private static final double SHORT_MILLIS = 100;

		@Override
		public double of(Candidate candidate) {
			if (candidate.atHome()) {
				return 0;
			}
			double slowed = Math.max(LEAST, REQUEST * candidate.meanRequests());
			return slowed * Math.max(1, candidate.readMillis() / SHORT_MILLIS);
		}

	}

	/**
	 * Nodes that do not tell each other what is kept where meet at the same replica if
	 * all prefer it for the same parts.
	 */
	record Preference() implements Loss {

		private static final double NOT_PREFERRED = 0.02;

		@Override
		public double of(Candidate candidate) {
			List<PromptPart> parts = candidate.task().prompt().parts();
			return parts.isEmpty() ? 0
					: NOT_PREFERRED * KeyHash.toUnitInterval(parts.get(0).id() + '/' + candidate.replica().id());
		}

	}

}
