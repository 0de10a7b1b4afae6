package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

import org.gullsaddle.base.TeamId;

/**
 * Shares the work of engines among teams, rank by rank. Confined to one thread.
 * <p>
 * What engines get done lately is shared so that the team that gets least gets as much as
 * it can: one that asks for little gets all of it, and what it leaves is shared by the
 * others. Only while teams ask for more than is done is anything beyond a share. A
 * request counts by its work and waits for its team's, never for its own size.
 */
public final class WorkShares {

	/** How long work counts, as the time until half is forgotten. */
	static final double HALF_LIFE_MILLIS = 4000;

	/**
	 * How many requests must have ended for what is done to mean something, and how many
	 * must have come lately.
	 */
	private static final int MIN_REQUESTS = 12;

	/** With less asked beyond what is done, queues stay short. */
	private static final double OVERLOAD_RATIO = 1.25;

	/**
	 * The part of what a rank asks for that it is taken to get at least, also where
	 * nothing ends.
	 */
	private static final double MIN_CAPACITY_RATIO = 0.25;

	/** How many tokens are read in the time that a token takes to be written. */
	private static final int PROMPT_TOKENS_PER_OUTPUT_TOKEN = 10;

	private final Map<Integer, RankShares> ranks = new TreeMap<>();

	private final DecayingSum recentWorkDone = new DecayingSum(HALF_LIFE_MILLIS);

	private final DecayingSum recentRequests = new DecayingSum(HALF_LIFE_MILLIS);

	private int endedRequests;

	/**
	 * Counts a request that is sent to an engine.
	 * @param now the time in milliseconds
	 * @param team whose it is
	 * @param rank its rank, 0 first
	 * @param work its work
	 * @return true if it is beyond its team's share, and waits for others of its rank
	 */
	public boolean recordSent(long now, TeamId team, int rank, double work) {
		boolean over = isOverShare(now, team, rank);
		this.recentRequests.add(now, 1);
		this.ranks.computeIfAbsent(rank, (missing) -> new RankShares()).recordSent(now, team, work, over);
		return over;
	}

	/**
	 * Notes that an engine is done with a request.
	 * @param now the time in milliseconds
	 * @param work its work
	 */
	public void recordEnded(long now, double work) {
		this.endedRequests++;
		this.recentWorkDone.add(now, work);
	}

	/**
	 * Says whether a team has its share, while its rank asks for more than there is.
	 * @param now the time in milliseconds
	 * @param team the team
	 * @param rank the rank of its request, 0 first
	 * @return true if what it asks for now is beyond its share
	 */
	public boolean isOverShare(long now, TeamId team, int rank) {
		RankShares shares = this.ranks.get(rank);
		return shares != null && this.endedRequests >= MIN_REQUESTS && isOverloaded(now)
				&& shares.isOverLevel(now, team, capacity(now, rank, shares));
	}

	/**
	 * Says whether more is asked for than engines get done. Few requests make no queue.
	 */
	private boolean isOverloaded(long now) {
		double asked = this.ranks.values().stream().mapToDouble((each) -> each.requestedWork(now)).sum();
		return this.recentRequests.sum(now) >= MIN_REQUESTS && asked > OVERLOAD_RATIO * this.recentWorkDone.sum(now);
	}

	private double capacity(long now, int rank, RankShares shares) {
		double before = this.ranks.entrySet()
			.stream()
			.filter((each) -> each.getKey() < rank)
			.mapToDouble((each) -> each.getValue().requestedWork(now))
			.sum();
		return Math.max(this.recentWorkDone.sum(now) - before, MIN_CAPACITY_RATIO * shares.requestedWork(now));
	}

	/**
	 * Returns a request's work at an engine, in tokens that the smallest model reads.
	 * @param unreadTokens how much of its prompt is to be read
	 * @param task what is to be done
	 * @return the work, at least 1
	 */
	public static double workOf(int unreadTokens, Task task) {
		return Math.max(1,
				(unreadTokens + PROMPT_TOKENS_PER_OUTPUT_TOKEN * task.prompt().likelyOutput()) * task.pace());
	}

	/**
	 * What the teams of one rank ask for.
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

		boolean isOverLevel(long now, TeamId team, double room) {
			TeamUse use = this.teams.get(team);
			if (use == null) {
				return false;
			}
			if (now - this.levelUpdatedAt >= LEVEL_UPDATE_MILLIS) {
				this.teams.values().removeIf((each) -> each.requestedWork.sum(now) < 1);
				this.level = computeLevel(now, room);
				this.levelUpdatedAt = now;
			}
			return use.workWithinShare.sum(now) >= this.level;
		}

		/**
		 * Returns how much a team may use at most, so that all together use the room.
		 */
		private double computeLevel(long now, double room) {
			double[] asks = this.teams.values()
				.stream()
				.mapToDouble((use) -> use.requestedWork.sum(now))
				.sorted()
				.toArray();
			double left = room;
			for (int i = 0; i < asks.length; i++) {
				double equal = left / (asks.length - i);
				if (asks[i] >= equal) {
					return equal;
				}
				left -= asks[i];
			}
			return Double.MAX_VALUE;
		}

	}

	/**
	 * What a team asks for, and what of it was within its share.
	 */
	private static final class TeamUse {

		private final DecayingSum requestedWork = new DecayingSum(HALF_LIFE_MILLIS);

		private final DecayingSum workWithinShare = new DecayingSum(HALF_LIFE_MILLIS);

	}

}
