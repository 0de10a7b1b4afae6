package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.Map;

import org.gullsaddle.base.TeamId;

/**
 * Notices teams that send far more than they usually do. Confined to one thread.
 * <p>
 * When one team sends many times its usual, the engines' queues grow for all: without
 * this, teams that sent no more than ever wait as long as the one that fills them. What a
 * team sends beyond twice its share is queued behind its rank's other requests; nothing
 * is refused for it.
 */
public final class TeamBurstDetector {

	/** How long recent requests count, as the time until half are forgotten. */
	private static final double RECENT_HALF_LIFE_MILLIS = 2000;

	/**
	 * How long a team's usual share is remembered, in the same way; what is recent does
	 * not count as usual yet.
	 */
	private static final double USUAL_HALF_LIFE_MILLIS = 60_000;

	/** How many times its share a team may send. */
	private static final double MAX_SHARE_RATIO = 2;

	/**
	 * How many recent requests there must be for shares to mean something: with fewer,
	 * two requests of one team in a row look like a burst, and no queue is long.
	 */
	private static final double MIN_RECENT_REQUESTS = 12;

	private final Map<TeamId, RequestCounts> teams = new HashMap<>();

	private final RequestCounts total = new RequestCounts();

	/**
	 * Counts a request.
	 * @param team whose it is
	 * @param now the time in milliseconds
	 */
	public void recordRequest(TeamId team, long now) {
		this.teams.computeIfAbsent(team, (missing) -> new RequestCounts()).add(now);
		this.total.add(now);
	}

	/**
	 * Says whether a team sends more than twice its share: of what it usually sends, or
	 * of an equal part if that is more.
	 * @param team the team
	 * @param now the time in milliseconds
	 * @return true if its requests are to wait for others of their rank
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
	 * Requests counted, older ones less.
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
