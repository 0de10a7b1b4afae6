package org.gullsaddle.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.gullsaddle.serve.Loss;

/**
 * What each loss is worth to the choice of a replica: the requests of
 * {@link PlacementExperiment}, picked with all losses and with each of them left out. All
 * engines are in one data center and none fails, so that distance and failures show
 * nothing here.
 */
final class AblationExperiment implements Measure.Experiment {

	/** Requests a second: half of what engines can take, and near all of it. */
	private static final double[] RATES = { 12, 24 };

	private static final int SEEDS = 3;

	private static final double PERCENT = 100;

	@Override
	public void run(Report report, long seed) {
		play(report, "all losses", Loss.ALL, seed);
		for (Loss left : Loss.ALL) {
			List<Loss> others = new ArrayList<>(Loss.ALL);
			others.remove(left);
			play(report, "without " + left.getClass().getSimpleName().toLowerCase(Locale.ROOT), others, seed);
		}
	}

	private static void play(Report report, String name, List<Loss> losses, long seed) {
		for (double rate : RATES) {
			double inTime = 0;
			double read = 0;
			for (int i = 0; i < SEEDS; i++) {
				EngineFleet fleet = PlacementExperiment.play(losses, rate, seed + i);
				inTime += fleet.inTime() / SEEDS;
				read += fleet.readTokens() / 1e6 / SEEDS;
			}
			report.figure("ablation", name, "in time at " + rate + "/s", PERCENT * inTime, "%");
			report.figure("ablation", name, "prompt tokens read at " + rate + "/s", read, "M");
		}
	}

}
