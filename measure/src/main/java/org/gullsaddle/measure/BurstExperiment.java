package org.gullsaddle.measure;

import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.gullsaddle.serve.Prompt;

/**
 * Prompts that compete for too little room: the least urgent kind comes in a burst, a
 * part of the engines is lost in the middle of it, and then fewer come than usual.
 */
final class BurstExperiment implements Measure.Experiment {

	/**
	 * When the burst begins and ends, and when nothing comes any more, in milliseconds.
	 */
	static final double BEGINS = 5000;

	static final double ENDS = 11_000;

	static final double LAST = 26_000;

	/** Requests a second for each engine. */
	private static final double RATE = 7.1;

	private static final double BURST = 2.4;

	private static final double AFTER = 0.9;

	private static final int ENGINES = 14;

	private static final int LOST = 3;

	private static final int[] NODES = { 4, 22, 340 };

	private static final double PERCENT = 100;

	private static final double MILLIS = 1000;

	private static final PromptKind BURSTING = PromptKind.COMPETING.get(1);

	private static final EngineShape ENGINE = new EngineShape(3.55, 0.0462, 157, 1024, 128, 1_042_859);

	@Override
	public void run(Report report, long seed) {
		for (int nodes : NODES) {
			for (boolean known : new boolean[] { false, true }) {
				CascadeFleet fleet = play(nodes, known, true, seed);
				String name = known ? "room known to be short" : "room taken for usual";
				String at = " behind " + nodes + " nodes";
				report.figure("burst", name, "earned" + at, PERCENT * fleet.earned(), "%");
				for (PromptKind kind : PromptKind.COMPETING) {
					report.figure("burst", name, kind.name() + " earned" + at, PERCENT * fleet.earned(kind), "%");
				}
				report.figure("burst", name, "in time after the burst" + at,
						PERCENT * fleet.inTime(PromptKind.COMPETING, ENDS + 2 * MILLIS, LAST), "%");
			}
		}
	}

	/**
	 * Plays the burst.
	 * @param known whether nodes know that room is short
	 * @param lost whether engines are lost in the middle of the burst
	 */
	static CascadeFleet play(int nodes, boolean known, boolean lost, long seed) {
		Timeline time = new Timeline();
		List<EngineShape> engines = Collections.nCopies(ENGINES, ENGINE);
		CascadeFleet fleet = known ? CascadeFleet.withLittleRoom(time, nodes, engines, seed, PromptKind.COMPETING)
				: new CascadeFleet(time, nodes, engines, seed);
		for (PromptKind kind : PromptKind.COMPETING) {
			arrivals(time, fleet, kind, new Random(seed + kind.name().hashCode()));
		}
		if (lost) {
			time.at((BEGINS + ENDS) / 2, () -> fleet.loseEngines(LOST));
		}
		time.run();
		return fleet;
	}

	private static void arrivals(Timeline time, CascadeFleet fleet, PromptKind kind, Random random) {
		double at = 0;
		for (int i = 0; at < LAST; i++) {
			at += Timeline.gap(random, kind.share() * ENGINES * RATE * rise(kind, at) / MILLIS);
			Prompt prompt = kind.prompt(random, i);
			int output = PlacementExperiment.tokens(random, kind.outputTokens());
			time.at(at, () -> fleet.arrive(kind, prompt, output));
		}
	}

	private static double rise(PromptKind kind, double at) {
		if (at >= ENDS) {
			return AFTER;
		}
		return (kind == BURSTING && at >= BEGINS) ? BURST : 1;
	}

}
