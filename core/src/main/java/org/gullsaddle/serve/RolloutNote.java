package org.gullsaddle.serve;

import java.util.Map;

/**
 * What a node tells others of a roll-out. Evidence is a sum of logarithms over the
 * answers of the new release that the node saw: positive against it, negative for it.
 *
 * @param node the node
 * @param evidence the sum over all answers
 * @param routes the same for each route by itself
 * @param answers the number of answers
 * @param elapsedMillis how long ago the order was, so that a node that has just started
 * does not begin anew
 */
public record RolloutNote(String node, double evidence, Map<String, Double> routes, int answers, long elapsedMillis) {

	public RolloutNote {
		routes = (routes != null) ? Map.copyOf(routes) : Map.of();
	}

}
