package org.gullsaddle.serve;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.gullsaddle.fleet.Route;

/**
 * Limits how long the queue of a larger model may be for a request to join it, by the
 * request's rank.
 * <p>
 * Engines read prompts in order of arrival, so a less urgent prompt delays all behind it.
 * A queue that is acceptable to the most urgent requests must not be filled by others:
 * each rank may fill a share of the shortest objective among the routes of the same or a
 * more urgent rank, and the share falls with each rank. As a queue grows, the least
 * urgent rank stops joining first, and it joins again when the queue is gone.
 */
public final class QueueBounds {

	/**
	 * The share of the shortest objective that requests of the most urgent rank may
	 * queue.
	 */
	private static final double FIRST_RANK_RATIO = 0.6;

	/** By what ratio the share falls with each rank. */
	private static final double NEXT_RANK_RATIO = 2.0 / 3;

	private final TreeMap<Integer, Double> byRank;

	private QueueBounds(TreeMap<Integer, Double> byRank) {
		this.byRank = byRank;
	}

	/**
	 * Derives the bounds from the routes that have more than one model.
	 * @param routes all routes
	 * @return the bounds
	 */
	public static QueueBounds of(Collection<Route> routes) {
		TreeMap<Integer, Double> byRank = new TreeMap<>();
		double shortestMillis = Double.MAX_VALUE;
		double ratio = FIRST_RANK_RATIO;
		for (Map.Entry<Integer, List<Route>> rank : groupByRank(routes).entrySet()) {
			for (Route route : rank.getValue()) {
				shortestMillis = Math.min(shortestMillis, route.targetMillis());
			}
			byRank.put(rank.getKey(), ratio * shortestMillis);
			ratio *= NEXT_RANK_RATIO;
		}
		return new QueueBounds(byRank);
	}

	private static TreeMap<Integer, List<Route>> groupByRank(Collection<Route> routes) {
		return routes.stream()
			.filter((route) -> route.models().size() > 1)
			.collect(Collectors.groupingBy(QueueBounds::rank, TreeMap::new, Collectors.toList()));
	}

	private static int rank(Route route) {
		return route.rankFor(OptionalInt.empty());
	}

	/**
	 * Returns how long a queue may be for a request to join it.
	 * @param rank the rank of the request, 0 is the most urgent
	 * @return the time in milliseconds
	 */
	public double maxQueueMillis(int rank) {
		Map.Entry<Integer, Double> bound = this.byRank.floorEntry(rank);
		if (bound == null) {
			bound = this.byRank.firstEntry();
		}
		return (bound != null) ? bound.getValue() : 0;
	}

}
