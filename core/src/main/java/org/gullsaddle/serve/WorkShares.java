package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

import org.gullsaddle.base.TeamId;

/**
 * Shares the work of engines fairly among teams, rank by rank. Confined to one thread.
 * <p>
 * The recently completed work is shared by max-min fairness: a team that asks for little
 * gets all of it, and what it leaves is shared by the others. Only while teams ask for
 * more than is completed can a team exceed its share. A request counts by its work; it
 * waits because its team exceeds the share, never because of its own size.
 */
public final class WorkShares {

	/** The half-life of recorded work, in milliseconds. */
	static final double HALF_LIFE_MILLIS = 4000;

	/**
	 * How many requests must have ended, and how many must have arrived recently, for the
	 * shares to be reliable.
	 */
	private static final int MIN_REQUESTS = 12;

	/** The ratio of requested to completed work up to which queues stay short. */
	private static final double OVERLOAD_RATIO = 1.25;

	/**
	 * The ratio of its requested work that a rank is assumed to get at least, even while
	 * nothing ends.
	 */
	private static final double MIN_CAPACITY_RATIO = 0.25;

	/**
	 * How many prompt tokens an engine reads in the time that it takes to generate one.
	 */
	private static final int PROMPT_TOKENS_PER_OUTPUT_TOKEN = 10;

	private final Map<Integer, RankShares> ranks = new TreeMap<>();

	private final DecayingSum recentWorkDone = new DecayingSum(HALF_LIFE_MILLIS);

	private final DecayingSum recentRequests = new DecayingSum(HALF_LIFE_MILLIS);

	private int endedRequests;

	/**
	 * Counts a request that is sent to an engine.
	 * @param now the time in milliseconds
	 * @param team its team
	 * @param rank its rank, 0 is the most urgent
	 * @param work its work
	 * @return true if it exceeds its team's share and must wait for others of its rank
	 */
	public boolean recordSent(long now, TeamId team, int rank, double work) {
		boolean over = isOverShare(now, team, rank);
		this.recentRequests.add(now, 1);
		this.ranks.computeIfAbsent(rank, (missing) -> new RankShares()).recordSent(now, team, work, over);
		return over;
	}

	/**
	 * Records that an engine has finished a request.
	 * @param now the time in milliseconds
	 * @param work its work
	 */
	public void recordEnded(long now, double work) {
		this.endedRequests++;
		this.recentWorkDone.add(now, work);
	}

	/**
	 * Returns whether a team has used up its share while its rank asks for more than the
	 * capacity.
	 * @param now the time in milliseconds
	 * @param team the team
	 * @param rank the rank of its request, 0 is the most urgent
	 * @return true if a request now exceeds its share
	 */
	public boolean isOverShare(long now, TeamId team, int rank) {
		RankShares shares = this.ranks.get(rank);
		return shares != null && this.endedRequests >= MIN_REQUESTS && isOverloaded(now)
				&& shares.isOverLevel(now, team, capacity(now, rank, shares));
	}

	/**
	 * Returns whether more work is requested than engines complete. Few requests make no
	 * queue.
	 */
	private boolean isOverloaded(long now) {
		double requested = this.ranks.values().stream().mapToDouble((each) -> each.requestedWork(now)).sum();
		return this.recentRequests.sum(now) >= MIN_REQUESTS
				&& requested > OVERLOAD_RATIO * this.recentWorkDone.sum(now);
	}

	private double capacity(long now, int rank, RankShares shares) {
		double ofUrgentRanks = this.ranks.entrySet()
			.stream()
			.filter((each) -> each.getKey() < rank)
			.mapToDouble((each) -> each.getValue().requestedWork(now))
			.sum();
		return Math.max(this.recentWorkDone.sum(now) - ofUrgentRanks, MIN_CAPACITY_RATIO * shares.requestedWork(now));
	}

	/**
	 * Returns a request's work for an engine, in prompt tokens of the smallest model.
	 * @param unreadTokens the tokens of its prompt that are not cached
	 * @param task the task
	 * @return the work, at least 1
	 */
	public static double workOf(int unreadTokens, ReplicaTask task) {
		return Math.max(1, (unreadTokens + PROMPT_TOKENS_PER_OUTPUT_TOKEN * task.prompt().expectedOutputTokens())
				* task.slowdown());
	}

	/**
	 * The work that the teams of one rank request, and its fair level.
	 */
	private static final class RankShares {

		private static final long LEVEL_UPDATE_MILLIS = 100;

		private final Map<TeamId, TeamUse> teams = new HashMap<>();

		private final DecayingSum requestedWork = new DecayingSum(HALF_LIFE_MILLIS);

		private double level = Double.MAX_VALUE;

		private long levelUpdatedAt = Long.MIN_VALUE / 2;

		double requestedWork(long now) {
			return this.requestedWork.sum(now);
		}

		void recordSent(long now, TeamId team, double work, boolean over) {
			this.requestedWork.add(now, work);
			TeamUse use = this.teams.computeIfAbsent(team, (missing) -> new TeamUse());
			use.requestedWork.add(now, work);
			if (!over) {
				use.workWithinShare.add(now, work);
			}
		}

		boolean isOverLevel(long now, TeamId team, double capacity) {
			TeamUse use = this.teams.get(team);
			if (use == null) {
				return false;
			}
			if (now - this.levelUpdatedAt >= LEVEL_UPDATE_MILLIS) {
				this.teams.values().removeIf((each) -> each.requestedWork.sum(now) < 1);
				this.level = computeLevel(now, capacity);
				this.levelUpdatedAt = now;
			}
			return use.workWithinShare.sum(now) >= this.level;
		}

		/**
		 * Returns the most work that a team may use so that all teams together use the
		 * capacity.
		 */
		private double computeLevel(long now, double capacity) {
			double[] requests = this.teams.values()
				.stream()
				.mapToDouble((use) -> use.requestedWork.sum(now))
				.sorted()
				.toArray();
			double remaining = capacity;
			for (int i = 0; i < requests.length; i++) {
				double equal = remaining / (requests.length - i);
				if (requests[i] >= equal) {
					return equal;
				}
				remaining -= requests[i];
			}
			return Double.MAX_VALUE;
		}

	}

	/**
	 * The work that a team requested, and how much of it was within its share.
	 */
	private static final class TeamUse {

		private final DecayingSum requestedWork = new DecayingSum(HALF_LIFE_MILLIS);

		private final DecayingSum workWithinShare = new DecayingSum(HALF_LIFE_MILLIS);

	}

}
