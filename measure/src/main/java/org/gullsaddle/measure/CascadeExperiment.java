package org.gullsaddle.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.gullsaddle.serve.Prompt;

/**
 * What answers earn that are made by cascades on shared engines, from half of what the
 * engines can take to more than that: who gets the largest model, and where.
 */
final class CascadeExperiment implements Measure.Experiment {

	private static final int NODES = 31;

	private static final int ENGINES = 36;

	private static final double SECONDS = 40;

	/** Each third engine is this much slower. */
	private static final double SLOWER = 1.3;

	/** Requests a second. */
	private static final double[] RATES = { 30, 50, 65, 80 };

	private static final int SEEDS = 4;

	private static final double MILLIS = 1000;

	private static final double PERCENT = 100;

	@Override
	public void run(Report report, long seed) {
		for (double rate : RATES) {
			double[] earned = new double[PromptKind.ALL.size()];
			double all = 0;
			double price = 0;
			for (int i = 0; i < SEEDS; i++) {
				CascadeFleet fleet = play(rate, seed + i);
				all += PERCENT * fleet.earned() / SEEDS;
				price += PERCENT * fleet.price() / SEEDS;
				for (int k = 0; k < earned.length; k++) {
					earned[k] += PERCENT * fleet.earned(PromptKind.ALL.get(k)) / SEEDS;
				}
			}
			String at = " at " + rate + "/s";
			report.figure("cascade", "all", "earned" + at, all, "%");
			report.figure("cascade", "all", "use of models" + at, price, "%");
			for (int k = 0; k < earned.length; k++) {
				report.figure("cascade", PromptKind.ALL.get(k).name(), "earned" + at, earned[k], "%");
			}
		}
	}

	/**
	 * Plays some seconds of requests.
	 */
	static CascadeFleet play(double rate, long seed) {
		Timeline time = new Timeline();
		CascadeFleet fleet = new CascadeFleet(time, NODES, engines(), seed);
		Random random = new Random(seed);
		double at = 0;
		for (int i = 0; at < MILLIS * SECONDS; i++) {
			at += Timeline.gap(random, rate / MILLIS);
			PromptKind kind = PromptKind.draw(random);
			Prompt prompt = kind.prompt(random, i);
			int output = PlacementExperiment.tokens(random, kind.outputTokens());
			time.at(at, () -> fleet.arrive(kind, prompt, output));
		}
		time.run();
		return fleet;
	}

	private static List<EngineShape> engines() {
		List<EngineShape> shapes = new ArrayList<>();
		for (int i = 0; i < ENGINES; i++) {
			shapes.add((i % 3 == 2) ? EngineShape.LARGE_MODELS.faster(1 / SLOWER) : EngineShape.LARGE_MODELS);
		}
		return shapes;
	}

}
