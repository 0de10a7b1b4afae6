package org.gullsaddle.measure;

import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/**
 * The same load on the same engines behind ever more nodes. Each node sees fewer answers
 * of each engine, so that what it knows of their queues gets old, and several nodes take
 * one engine for idle at once. The requests are those of {@link PlacementExperiment}.
 */
final class SizeExperiment implements Measure.Experiment {

	private static final int ENGINES = 42;

	private static final int[] NODES = { 4, 10, 20, 33, 60 };

	/** The number of nodes that policies are judged at. */
	private static final int JUDGED_NODES = 33;

	/** So many that a plan of arrivals that suits one policy does not decide. */
	private static final int SEEDS = 8;

	/** Requests a second, nearly all that the engines can take. */
	private static final double RATE = 105;

	private static final List<EngineFleet.Policy> POLICIES = List.of(EngineFleet.Policy.RANDOM,
			EngineFleet.Policy.LEAST_REQUESTS, EngineFleet.Policy.GULLSADDLE, EngineFleet.Policy.ASKING,
			EngineFleet.Policy.ASKING_IF_OLD, EngineFleet.Policy.ORACLE);

	private static final List<EngineFleet.Policy> KNOWING = List.of(EngineFleet.Policy.GULLSADDLE,
			EngineFleet.Policy.ASKING, EngineFleet.Policy.ASKING_IF_OLD);

	private static final double PERCENT = 100;

	private static final Path PLOT = Path.of("target", "size.png");

	@Override
	public void run(Report report, long seed) {
		Plot plot = new Plot("First token within the objective, " + ENGINES + " engines", "nodes", "% of requests");
		double oracle = 0;
		double asking = 0;
		for (EngineFleet.Policy policy : POLICIES) {
			String name = policy.toString().toLowerCase(Locale.ROOT);
			for (int nodes : NODES) {
				EngineFleet fleet = play(policy, nodes, seed);
				double inTime = PERCENT * fleet.inTime();
				plot.add(name, nodes, inTime);
				report.figure("size", name, "in time behind " + nodes + " nodes", inTime, "%");
				report.figure("size", name, "first token p95 behind " + nodes + " nodes",
						fleet.first().getValueAtPercentile(95), "ms");
				if (nodes == JUDGED_NODES && policy == EngineFleet.Policy.ORACLE) {
					oracle = inTime;
				}
				if (nodes == JUDGED_NODES && policy == EngineFleet.Policy.ASKING) {
					asking = inTime;
					report.figure("size", name, "reports asked for", fleet.asked(), "");
				}
			}
		}
		for (EngineFleet.Policy policy : KNOWING) {
			report.figure("size", policy.toString().toLowerCase(Locale.ROOT),
					"late behind " + JUDGED_NODES + " nodes, " + SEEDS + " seeds",
					PERCENT * late(policy, JUDGED_NODES, seed), "%");
		}
		report.atLeast("size", "in time against an oracle", asking / oracle, "ratio", 0.95);
		plot.write("size", PLOT);
	}

	/**
	 * Returns the part of all requests whose first token came after the objective, on the
	 * mean of some seeds.
	 * @param seed the first seed
	 */
	static double late(EngineFleet.Policy policy, int nodes, long seed) {
		double late = 0;
		for (int i = 0; i < SEEDS; i++) {
			late += (1 - play(policy, nodes, seed + i).inTime()) / SEEDS;
		}
		return late;
	}

	/**
	 * Plays two minutes of requests behind some nodes.
	 */
	static EngineFleet play(EngineFleet.Policy policy, int nodes, long seed) {
		return PlacementExperiment.play(policy, nodes, ENGINES, RATE, seed);
	}

}
