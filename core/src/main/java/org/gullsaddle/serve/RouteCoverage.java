package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.Map;

/**
 * The routes of a service during a roll-out: how large their prompts are, and how many
 * answers each release gave on them. Confined to one thread.
 */
final class RouteCoverage {

	/** How many routes are told apart; later ones are not counted. */
	private static final int MAX_ROUTES = 64;

	private static final double SMOOTHING = 0.1;

	/** Prompts that are smaller than this part of others are clearly smaller. */
	private static final double SMALLER_PROMPT_RATIO = 0.7;

	/** How many answers of the old release on a route ask for a trial of it. */
	private static final int MIN_ANSWERS_IN_USE = 30;

	private final Map<String, Double> promptTokensByRoute = new HashMap<>();

	private final Map<String, Integer> oldAnswersByRoute = new HashMap<>();

	private final Map<String, Integer> newAnswersByRoute = new HashMap<>();

	/** What each other node told of its answers of the new release. */
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
	 * Says whether a route's prompts are among the smallest: they fill a replica's slots
	 * without making others wait.
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
	 * Says whether the new release gave enough answers on each route that is in use.
	 */
	boolean isCovered(int enough) {
		return this.oldAnswersByRoute.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() >= MIN_ANSWERS_IN_USE)
			.allMatch((entry) -> newAnswerCount(entry.getKey()) >= enough);
	}

	private int newAnswerCount(String route) {
		return this.newAnswersByRoute.getOrDefault(route, 0)
				+ this.peerAnswersByRoute.values().stream().mapToInt((routes) -> routes.getOrDefault(route, 0)).sum();
	}

	/**
	 * Returns this node's answers of the new release by route.
	 */
	Map<String, Integer> newAnswersByRoute() {
		return this.newAnswersByRoute;
	}

}
