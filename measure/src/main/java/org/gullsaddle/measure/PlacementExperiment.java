package org.gullsaddle.measure;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;

import org.gullsaddle.serve.Loss;
import org.gullsaddle.serve.Prompt;
import org.gullsaddle.serve.PromptPart;

/**
 * Which engine a prompt goes to, as load grows: prompts of some thousand tokens that
 * share parts, two requests in five for a model that takes ten times as long. The prompts
 * and answers are those of assistants that read documents; see
 * {@link EngineShape#LARGE_MODELS}.
 */
final class PlacementExperiment implements Measure.Experiment {

	private static final int ENGINES = 8;

	private static final double SECONDS = 120;

	/** Requests a second; at the highest no policy keeps up. */
	private static final double[] RATES = { 4, 8, 12, 16, 20, 24 };

	/**
	 * The load at which policies are judged, some four fifths of what engines can take.
	 */
	private static final double JUDGED_RATE = 16;

	private static final double LARGE_SHARE = 0.4;

	private static final int SHARED_PARTS = 50;

	private static final int MEAN_SHARED_TOKENS = 8000;

	private static final int MEAN_OWN_TOKENS = 3000;

	private static final int MEAN_OUTPUT_TOKENS = 120;

	private static final double OBJECTIVE_MILLIS = 4000;

	private static final double PERCENT = 100;

	private static final double MILLIS = 1000;

	private static final Path PLOT = Path.of("target", "placement.png");

	@Override
	public void run(Report report, long seed) {
		Plot plot = new Plot("First token within the objective", "requests a second", "% of requests");
		Map<EngineFleet.Policy, Double> judged = new EnumMap<>(EngineFleet.Policy.class);
		for (EngineFleet.Policy policy : EngineFleet.Policy.values()) {
			String name = policy.toString().toLowerCase(Locale.ROOT);
			for (double rate : RATES) {
				EngineFleet fleet = play(policy, rate, seed);
				double inTime = PERCENT * fleet.inTime();
				plot.add(name, rate, inTime);
				report.figure("placement", name, "in time at " + rate + "/s", inTime, "%");
				if (rate == JUDGED_RATE) {
					report.figure("placement", name, "first token p95", fleet.first().getValueAtPercentile(95), "ms");
					report.figure("placement", name, "prompt tokens read", fleet.readTokens() / 1e6, "M");
					judged.put(policy, inTime);
				}
			}
		}
		double ours = judged.get(EngineFleet.Policy.GULLSADDLE);
		report.atLeast("placement", "in time against random", ours / judged.get(EngineFleet.Policy.RANDOM), "ratio",
				1.2);
		report.atLeast("placement", "in time against an oracle", ours / judged.get(EngineFleet.Policy.ORACLE), "ratio",
				0.95);
		plot.write("placement", PLOT);
	}

	/**
	 * Plays two minutes of requests.
	 */
	static EngineFleet play(EngineFleet.Policy policy, double rate, long seed) {
		return play(policy, EngineShape.LARGE_MODELS, rate, seed);
	}

	/**
	 * Plays two minutes of requests on engines of any shape.
	 */
	static EngineFleet play(EngineFleet.Policy policy, EngineShape shape, double rate, long seed) {
		Timeline time = new Timeline();
		return play(time, new EngineFleet(time, policy, ENGINES, shape, seed), rate, seed);
	}

	/**
	 * Plays two minutes of requests by the router's own picker with some losses only.
	 */
	static EngineFleet play(List<Loss> losses, double rate, long seed) {
		Timeline time = new Timeline();
		EngineFleet fleet = new EngineFleet(time, losses, ENGINES, EngineShape.LARGE_MODELS, seed);
		return play(time, fleet, rate, seed);
	}

	/**
	 * Plays two minutes of requests by many nodes.
	 */
	static EngineFleet play(EngineFleet.Policy policy, int nodes, int engines, double rate, long seed) {
		Timeline time = new Timeline();
		return play(time, new EngineFleet(time, policy, nodes, engines, EngineShape.LARGE_MODELS, seed), rate, seed);
	}

	private static EngineFleet play(Timeline time, EngineFleet fleet, double rate, long seed) {
		Random random = new Random(seed);
		int[] shared = new int[SHARED_PARTS];
		for (int i = 0; i < SHARED_PARTS; i++) {
			shared[i] = tokens(random, MEAN_SHARED_TOKENS);
		}
		double at = 0;
		for (int i = 0; at < MILLIS * SECONDS; i++) {
			at += Timeline.gap(random, rate / MILLIS);
			int part = (int) (Math.pow(random.nextDouble(), 1.5) * SHARED_PARTS);
			List<PromptPart> parts = new ArrayList<>();
			parts.add(new PromptPart("shared-" + part, shared[part]));
			parts.add(new PromptPart("own-" + i, tokens(random, MEAN_OWN_TOKENS)));
			int input = parts.stream().mapToInt(PromptPart::tokens).sum();
			int output = tokens(random, MEAN_OUTPUT_TOKENS);
			Prompt prompt = new Prompt(input, output, OptionalInt.empty(), parts);
			ModelKind model = (random.nextDouble() < LARGE_SHARE) ? ModelKind.LARGE : ModelKind.SMALL;
			time.at(at, () -> fleet.arrive(prompt, model, output, OBJECTIVE_MILLIS));
		}
		time.run();
		return fleet;
	}

	/**
	 * Draws a size around a mean, with the long tail that prompts have.
	 */
	static int tokens(Random random, int mean) {
		double spread = 0.8;
		return (int) Math.max(1, Math.round(mean * Math.exp(spread * random.nextGaussian() - spread * spread / 2)));
	}

}
