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
	static final double RECENT_MILLIS = 4000;

	/**
	 * How many requests must have ended for what is done to mean something, and how many
	 * must have come lately.
	 */
	private static final int FEWEST = 12;

	/** With less asked beyond what is done, queues stay short. */
	private static final double SLACK = 1.25;

	/**
	 * The part of what a rank asks for that it is taken to get at least, also where
	 * nothing ends.
	 */
	private static final double LEAST_PART = 0.25;

	/** How many tokens are read in the time that a token takes to be written. */
	private static final int READ_PER_WRITTEN = 10;

	private final Map<Integer, RankShares> ranks = new TreeMap<>();

	private final Recent done = new Recent(RECENT_MILLIS);

	private final Recent requests = new Recent(RECENT_MILLIS);

	private int ended;

	/**
	 * Counts a request that is sent to an engine.
	 * @param now the time in milliseconds
	 * @param team whose it is
	 * @param rank its rank, 0 first
	 * @param work its work
	 * @return true if it is beyond its team's share, and waits for others of its rank
	 */
	public boolean sent(long now, TeamId team, int rank, double work) {
		boolean over = over(now, team, rank);
		this.requests.add(now, 1);
		this.ranks.computeIfAbsent(rank, (missing) -> new RankShares()).sent(now, team, work, over);
		return over;
	}

	/**
	 * Notes that an engine is done with a request.
	 * @param now the time in milliseconds
	 * @param work its work
	 */
	public void ended(long now, double work) {
		this.ended++;
		this.done.add(now, work);
	}

	/**
	 * Says whether a team has its share, while its rank asks for more than there is.
	 * @param now the time in milliseconds
	 * @param team the team
	 * @param rank the rank of its request, 0 first
	 * @return true if what it asks for now is beyond its share
	 */
	public boolean over(long now, TeamId team, int rank) {
		RankShares shares = this.ranks.get(rank);
		return shares != null && this.ended >= FEWEST && tooMuch(now)
				&& shares.over(now, team, room(now, rank, shares));
	}

	/**
	 * Says whether more is asked for than engines get done. Few requests make no queue.
	 */
	private boolean tooMuch(long now) {
		double asked = this.ranks.values().stream().mapToDouble((each) -> each.asked(now)).sum();
		return this.requests.sum(now) >= FEWEST && asked > SLACK * this.done.sum(now);
	}

	private double room(long now, int rank, RankShares shares) {
		double before = this.ranks.entrySet()
			.stream()
			.filter((each) -> each.getKey() < rank)
			.mapToDouble((each) -> each.getValue().asked(now))
			.sum();
		return Math.max(this.done.sum(now) - before, LEAST_PART * shares.asked(now));
	}

	/**
	 * Returns a request's work at an engine, in tokens that the smallest model reads.
	 * @param unreadTokens how much of its prompt is to be read
	 * @param task what is to be done
	 * @return the work, at least 1
	 */
	public static double work(int unreadTokens, ReplicaTask task) {
		return Math.max(1, (unreadTokens + READ_PER_WRITTEN * task.prompt().expectedOutputTokens()) * task.slowdown());
	}

	/**
	 * What the teams of one rank ask for.
	 */
	private static final class RankShares {

		private static final long LEVEL_MILLIS = 100;

		private final Map<TeamId, Use> teams = new HashMap<>();

		private final Recent asked = new Recent(RECENT_MILLIS);

		private double level = Double.MAX_VALUE;

		private long levelAt = Long.MIN_VALUE / 2;

		double asked(long now) {
			return this.asked.sum(now);
		}

		void sent(long now, TeamId team, double work, boolean over) {
			this.asked.add(now, work);
			Use use = this.teams.computeIfAbsent(team, (missing) -> new Use());
			use.asked.add(now, work);
			if (!over) {
				use.within.add(now, work);
			}
		}

		boolean over(long now, TeamId team, double room) {
			Use use = this.teams.get(team);
			if (use == null) {
				return false;
			}
			if (now - this.levelAt >= LEVEL_MILLIS) {
				this.teams.values().removeIf((each) -> each.asked.sum(now) < 1);
				this.level = level(now, room);
				this.levelAt = now;
			}
			return use.within.sum(now) >= this.level;
		}

		/**
		 * Returns how much a team may use at most, so that all together use the room.
		 */
		private double level(long now, double room) {
			double[] asks = this.teams.values().stream().mapToDouble((use) -> use.asked.sum(now)).sorted().toArray();
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
	private static final class Use {

		private final Recent asked = new Recent(RECENT_MILLIS);

		private final Recent within = new Recent(RECENT_MILLIS);

	}

}
