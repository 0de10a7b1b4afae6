package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.Map;

/**
 * The prompt sizes of a service's routes during a roll-out, and the number of answers
 * that each release gave on them. Confined to one thread.
 */
final class RouteCoverage {

	/** How many routes are counted separately; further ones are not counted. */
	private static final int MAX_ROUTES = 64;

	private static final double SMOOTHING = 0.1;

	/** Prompts below this ratio of another route's prompts count as smaller. */
	private static final double SMALLER_PROMPT_RATIO = 0.7;

	/** How many answers of the old release a route has when it counts as in use. */
	private static final int MIN_ANSWERS_IN_USE = 30;

	private final Map<String, Double> promptTokensByRoute = new HashMap<>();

	private final Map<String, Integer> oldAnswersByRoute = new HashMap<>();

	private final Map<String, Integer> newAnswersByRoute = new HashMap<>();

	/** The answers of the new release by route, as each peer reported them. */
	private final Map<String, Map<String, Integer>> peerAnswersByRoute = new HashMap<>();

	void recordPrompt(String route, long promptTokens) {
		Double before = this.promptTokensByRoute.get(route);
		if (before != null) {
			this.promptTokensByRoute.put(route, before + SMOOTHING * (promptTokens - before));
		}
		else if (this.promptTokensByRoute.size() < MAX_ROUTES) {
			this.promptTokensByRoute.put(route, (double) promptTokens);
		}
	}

	/**
	 * Returns whether a route's prompts are among the smallest. These fill a replica's
	 * slots without delaying other requests.
	 */
	boolean hasSmallestPrompts(String route) {
		double own = this.promptTokensByRoute.getOrDefault(route, 0.0);
		return this.promptTokensByRoute.values().stream().noneMatch((other) -> other < SMALLER_PROMPT_RATIO * own);
	}

	void recordAnswer(String route, boolean ofTarget) {
		Map<String, Integer> answers = ofTarget ? this.newAnswersByRoute : this.oldAnswersByRoute;
		if (answers.containsKey(route) || answers.size() < MAX_ROUTES) {
			answers.merge(route, 1, Integer::sum);
		}
	}

	void onNote(RolloutNote note) {
		this.peerAnswersByRoute.put(note.node(), note.routeAnswers());
	}

	/**
	 * Returns whether the new release gave at least a number of answers on each route in
	 * use.
	 */
	boolean isCovered(int minAnswers) {
		return this.oldAnswersByRoute.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() >= MIN_ANSWERS_IN_USE)
			.allMatch((entry) -> newAnswerCount(entry.getKey()) >= minAnswers);
	}

	private int newAnswerCount(String route) {
		return this.newAnswersByRoute.getOrDefault(route, 0)
				+ this.peerAnswersByRoute.values().stream().mapToInt((routes) -> routes.getOrDefault(route, 0)).sum();
	}

	/**
	 * Returns the answers of the new release that this node saw, by route.
	 */
	Map<String, Integer> newAnswersByRoute() {
		return this.newAnswersByRoute;
	}

}
