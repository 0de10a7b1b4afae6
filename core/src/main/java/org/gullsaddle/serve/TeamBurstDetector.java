package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.gullsaddle.base.TeamId;

/**
 * Detects teams that send far more requests than usual. Confined to one thread.
 * <p>
 * When one team sends many times its usual number of requests, the engines' queues grow
 * for all, and teams with unchanged traffic would wait as long as the one that causes the
 * queues. Requests of a team beyond twice its share are therefore queued behind the other
 * requests of their rank; none is refused for it.
 */
public final class TeamBurstDetector {

	/** The half-life of the recent request counts, in milliseconds. */
	private static final double RECENT_HALF_LIFE_MILLIS = 2000;

	/**
	 * The half-life of the counts of a team's usual share, in milliseconds. Recent
	 * requests are not part of the usual share yet.
	 */
	private static final double USUAL_HALF_LIFE_MILLIS = 60_000;

	/** How many times its usual share a team may send. */
	private static final double MAX_SHARE_RATIO = 2;

	/**
	 * How many recent requests are needed for reliable shares: with fewer, two successive
	 * requests of one team look like a burst, and no queue is long.
	 */
	private static final double MIN_RECENT_REQUESTS = 12;

	private final Map<TeamId, RequestCounts> teams = new HashMap<>();

	private final RequestCounts total = new RequestCounts();

	/**
	 * Counts a request.
	 * @param team its team
	 * @param now the time in milliseconds
	 */
	public void recordRequest(TeamId team, long now) {
		this.teams.computeIfAbsent(team, (missing) -> new RequestCounts()).add(now);
		this.total.add(now);
	}

	/**
	 * Returns whether a team sends more than twice its share: its usual share, or an
	 * equal share if that is larger.
	 * @param team the team
	 * @param now the time in milliseconds
	 * @return true if its requests must wait for others of their rank
	 */
	public boolean isBursting(TeamId team, long now) {
		RequestCounts counts = this.teams.get(team);
		this.total.decay(now);
		if (counts == null || this.total.recent < MIN_RECENT_REQUESTS) {
			return false;
		}
		counts.decay(now);
		double before = Math.max(1, this.total.usual - this.total.recent);
		double usual = Math.max((counts.usual - counts.recent) / before, 1.0 / this.teams.size());
		return counts.recent / this.total.recent > MAX_SHARE_RATIO * usual;
	}

	/**
	 * Drops the teams that are no longer configured.
	 * @param known the teams to keep
	 */
	public void retain(Set<TeamId> known) {
		this.teams.keySet().retainAll(known);
	}

	/**
	 * Exponentially decaying counts of requests.
	 */
	private static final class RequestCounts {

		private double recent;

		private double usual;

		private long updatedAt;

		void add(long now) {
			decay(now);
			this.recent++;
			this.usual++;
		}

		void decay(long now) {
			double passed = Math.max(0, now - this.updatedAt);
			this.recent *= Math.pow(0.5, passed / RECENT_HALF_LIFE_MILLIS);
			this.usual *= Math.pow(0.5, passed / USUAL_HALF_LIFE_MILLIS);
			this.updatedAt = Math.max(this.updatedAt, now);
		}

	}

}
