package org.gullsaddle.serve;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.gullsaddle.fleet.Route;

/**
 * How long the queue of a larger model may be for a request to join it, by the request's
 * rank.
 * <p>
 * An engine reads prompts in the order in which they come, so that one that is less
 * urgent makes all behind it wait. A queue that the most urgent bear must not be filled
 * by others: each rank may leave a part of the shortest objective among the routes that
 * are as urgent or more, and a smaller part with each rank. The least urgent stop joining
 * first, and join again first of all when the queue is gone.
 */
public final class QueueBounds {

	/** The part of the shortest objective that the most urgent requests may queue. */
	private static final double FIRST_PART = 0.6;

	/** How much shorter the queue is that the next rank may join. */
	private static final double NEXT_PART = 2.0 / 3;

	private final TreeMap<Integer, Double> byRank;

	private QueueBounds(TreeMap<Integer, Double> byRank) {
		this.byRank = byRank;
	}

	/**
	 * Derives the bounds from the routes that choose among models.
	 * @param routes all routes
	 * @return the bounds
	 */
	public static QueueBounds of(Collection<Route> routes) {
		TreeMap<Integer, Double> byRank = new TreeMap<>();
		double shortest = Double.MAX_VALUE;
		double part = FIRST_PART;
		for (Map.Entry<Integer, List<Route>> rank : byRank(routes).entrySet()) {
			for (Route route : rank.getValue()) {
				shortest = Math.min(shortest, route.targetMillis());
			}
			byRank.put(rank.getKey(), part * shortest);
			part *= NEXT_PART;
		}
		return new QueueBounds(byRank);
	}

	private static TreeMap<Integer, List<Route>> byRank(Collection<Route> routes) {
		return routes.stream()
			.filter((route) -> route.models().size() > 1)
			.collect(Collectors.groupingBy(QueueBounds::rank, TreeMap::new, Collectors.toList()));
	}

	private static int rank(Route route) {
		return route.rankFor(OptionalInt.empty());
	}

	/**
	 * Returns how long a queue may be.
	 * @param rank the rank of a request that would join it, 0 is the most urgent
	 * @return the time in milliseconds
	 */
	public double millis(int rank) {
		Map.Entry<Integer, Double> known = this.byRank.floorEntry(rank);
		if (known == null) {
			known = this.byRank.firstEntry();
		}
		return (known != null) ? known.getValue() : 0;
	}

}
