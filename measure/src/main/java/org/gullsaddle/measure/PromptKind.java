package org.gullsaddle.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;

import org.gullsaddle.fleet.Route;
import org.gullsaddle.fleet.RouteKind;
import org.gullsaddle.serve.Prompt;
import org.gullsaddle.serve.PromptPart;

/**
 * A kind of prompt: some begin with a part that many subjects share, all have a part of
 * their subject and one of their own.
 *
 * @param name its name
 * @param share its part of all requests
 * @param worth what a good answer in time is worth
 * @param route the route that takes it
 * @param subjects how many subjects it has
 * @param commonTokens the length of the part that subjects share, 0 for none
 * @param subjectTokens the mean length of a subject's part
 * @param ownTokens the mean length of its own part
 * @param outputTokens the mean length of its answer
 */
record PromptKind(String name, double share, double worth, Route route, int subjects, int commonTokens,
		int subjectTokens, int ownTokens, int outputTokens) {

	/** Long, middling and short prompts. */
	static final List<PromptKind> ALL = List.of(
			new PromptKind("long", 0.3, 3, route("long", 4000, 15_000, 1), 350, 0, 13_300, 3720, 120),
			new PromptKind("middling", 0.37, 2.6, route("middling", 4000, 10_000, 0), 369, 2520, 3780, 2890, 50),
			new PromptKind("short", 0.33, 0.41, route("short", 2000, 20_000, 2), 385, 210, 140, 1110, 170));

	/**
	 * Long, middling and short prompts that compete for too little room: the short ones
	 * are the most urgent, the middling ones the least.
	 */
	static final List<PromptKind> COMPETING = List.of(
			new PromptKind("competing-long", 0.3, 3.7, route("competing-long", 2000, 12_000, 1), 586, 0, 13_300, 3720,
					120),
			new PromptKind("competing-middling", 0.38, 1.5, route("competing-middling", 4000, 8000, 2), 437, 2520, 3780,
					2890, 52),
			new PromptKind("competing-short", 0.32, 0.98, route("competing-short", 1500, 15_000, 0), 1420, 210, 140,
					1110, 172));

	private static final int COMMON_PARTS = 4;

	private static Route route(String name, long target, long timeout, int rank) {
		return Route.named(name)
			.at("host", "/" + name + "/")
			.kind(RouteKind.STREAM, true)
			.models(CascadeFleet.MODEL_NAMES)
			.within(timeout, target, 1200)
			.maxAttempts(3)
			.callers(true, rank)
			.build();
	}

	/**
	 * Draws a kind by the shares.
	 */
	static PromptKind draw(Random random) {
		double left = random.nextDouble();
		for (PromptKind kind : ALL) {
			left -= kind.share;
			if (left < 0) {
				return kind;
			}
		}
		return ALL.get(ALL.size() - 1);
	}

	/**
	 * Draws a prompt.
	 * @param number a number that no other prompt has
	 */
	Prompt prompt(Random random, int number) {
		int subject = random.nextInt(this.subjects);
		List<PromptPart> parts = new ArrayList<>();
		if (this.commonTokens > 0) {
			parts.add(new PromptPart(this.name + "-common-" + subject % COMMON_PARTS, this.commonTokens));
		}
		int tokens = PlacementExperiment.tokens(new Random(subject), this.subjectTokens);
		parts.add(new PromptPart(this.name + "-subject-" + subject, tokens));
		parts.add(new PromptPart(this.name + "-own-" + number, PlacementExperiment.tokens(random, this.ownTokens)));
		int input = parts.stream().mapToInt(PromptPart::tokens).sum();
		return new Prompt(input, this.outputTokens, OptionalInt.empty(), parts);
	}

}
