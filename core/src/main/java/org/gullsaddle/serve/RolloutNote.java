package org.gullsaddle.serve;

import java.util.Map;

import org.gullsaddle.base.Check;

/**
 * A node's report on a roll-out for its peers. Evidence is the sum of log likelihood
 * ratios over the answers of the new release that the node saw: positive against it,
 * negative for it.
 *
 * @param node the node
 * @param evidence the sum over all answers
 * @param routes the sum for each route, and those of answers under load and of late
 * answers
 * @param answers the number of answers
 * @param elapsedMillis how long ago the order was, so that a node that has just started
 * continues there
 * @param routeAnswers the number of answers on each route
 * @param answersUnderLoad the number of answers from replicas under enough load for a
 * trial
 * @param triedLoad the highest load of a replica of the new release, as a ratio of its
 * slots
 * @param provedMillis how long after the order the release was proved, 0 if it is not
 * @param sent the number of requests that the node sent to any release
 * @param sentToTarget the number of them that it sent to the new release
 */
public record RolloutNote(String node, double evidence, Map<String, Double> routes, int answers, long elapsedMillis,
		Map<String, Integer> routeAnswers, int answersUnderLoad, double triedLoad, long provedMillis, int sent,
		int sentToTarget) {

	/** Exceeds the sum that any node can collect, either way. */
	private static final double MAX_EVIDENCE = 1e9;

	/**
	 * Replaces components that are missing in the note of an older version by empty maps,
	 * and checks the others.
	 */
	public RolloutNote {
		routes = (routes != null) ? Map.copyOf(routes) : Map.of();
		routeAnswers = (routeAnswers != null) ? Map.copyOf(routeAnswers) : Map.of();
		Check.notEmpty(node, "node");
		Check.that(Double.isFinite(triedLoad), "tried load must be finite");
		Check.that(Math.min(answers, answersUnderLoad) >= 0, "answers must not be negative");
		checkEvidence(evidence);
		routes.values().forEach(RolloutNote::checkEvidence);
		Check.that(routeAnswers.values().stream().allMatch((count) -> count >= 0),
				"answers of a route must not be negative");
		Check.that(Math.min(elapsedMillis, provedMillis) >= 0, "times must not be negative");
		Check.that(Math.min(sent, sentToTarget) >= 0, "sent requests must not be negative");
	}

	private static void checkEvidence(double evidence) {
		Check.that(Math.abs(evidence) <= MAX_EVIDENCE, "evidence must be at most " + MAX_EVIDENCE);
	}

	/**
	 * Returns the evidence of failures and of late answers together; its rise is urgent
	 * news.
	 * @return the sum, signed
	 */
	public double urgentEvidence() {
		return this.evidence + this.routes.getOrDefault(PooledEvidence.PACE_KEY, 0.0);
	}

	/**
	 * Creates a note on a release that was not tried under load.
	 * @param node the node
	 * @param evidence the sum over all answers
	 * @param routes the sum for each route
	 * @param answers the number of answers
	 * @param elapsedMillis how long ago the order was
	 */
	public RolloutNote(String node, double evidence, Map<String, Double> routes, int answers, long elapsedMillis) {
		this(node, evidence, routes, answers, elapsedMillis, Map.of(), 0, 0, 0, 0, 0);
	}

}
