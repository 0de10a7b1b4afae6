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
 * @param routeAnswers the number of answers for each route by itself
 * @param answersUnderLoad how many answers came from replicas under as much load as a
 * trial takes
 * @param triedLoad the most that ran at once at a replica of the new release, as a part
 * of its slots
 * @param provedMillis how long after the order the release was proved, 0 if it is not
 * @param sent how many requests the node sent to any release
 * @param sentToTarget how many of them it sent to the new one
 */
public record RolloutNote(String node, double evidence, Map<String, Double> routes, int answers, long elapsedMillis,
		Map<String, Integer> routeAnswers, int answersUnderLoad, double triedLoad, long provedMillis, int sent,
		int sentToTarget) {

	/**
	 * Takes what is missing in an older node's note as nothing.
	 */
	public RolloutNote {
		routes = (routes != null) ? Map.copyOf(routes) : Map.of();
		routeAnswers = (routeAnswers != null) ? Map.copyOf(routeAnswers) : Map.of();
	}

	/**
	 * Makes a note of a release that was not tried under load.
	 * @param node the node
	 * @param evidence the sum over all answers
	 * @param routes the same for each route by itself
	 * @param answers the number of answers
	 * @param elapsedMillis how long ago the order was
	 */
	public RolloutNote(String node, double evidence, Map<String, Double> routes, int answers, long elapsedMillis) {
		this(node, evidence, routes, answers, elapsedMillis, Map.of(), 0, 0, 0, 0, 0);
	}

}
