package org.gullsaddle.measure;

import java.util.Locale;
import java.util.Random;

import org.gullsaddle.base.TeamId;

/**
 * First token under load, with load reports that are two seconds late; hits of the prompt
 * caches.
 */
final class LatencyExperiment implements Measure.Experiment {

	private static final int REQUESTS = 20_000;

	private static final int AGENTS = 13;

	private static final double LOAD = 0.75;

	private static final double P99 = 99;

	@Override
	public void run(Report report, long seed) {
		Fleet ours = fleet(Fleet.Policy.GULLSADDLE, seed);
		double p99 = show(report, ours, Fleet.Policy.GULLSADDLE);
		Fleet reported = fleet(Fleet.Policy.LEAST_LOADED_BY_REPORT, seed);
		double byReport = show(report, reported, Fleet.Policy.LEAST_LOADED_BY_REPORT);
		Fleet oracle = fleet(Fleet.Policy.ORACLE, seed);
		double best = show(report, oracle, Fleet.Policy.ORACLE);
		show(report, fleet(Fleet.Policy.ROUND_ROBIN, seed), Fleet.Policy.ROUND_ROBIN);
		Fleet random = fleet(Fleet.Policy.RANDOM, seed);
		show(report, random, Fleet.Policy.RANDOM);
		report.ratioAtMost("latency", "first token p99", p99, "ms", "least loaded by report", byReport, 0.7);
		report.ratioAtMost("latency", "first token p99", p99, "ms", "oracle", best, 1.2);
		report.atLeast("latency", "prefix hits against random", (double) ours.cacheHits / random.cacheHits, "ratio",
				1.2);
	}

	private static double show(Report report, Fleet fleet, Fleet.Policy policy) {
		String name = policy.toString().toLowerCase(Locale.ROOT);
		report.figure("latency", name, "first token p50", fleet.firstToken.getValueAtPercentile(50), "ms");
		report.figure("latency", name, "first token p95", fleet.firstToken.getValueAtPercentile(95), "ms");
		double p99 = fleet.firstToken.getValueAtPercentile(P99);
		report.figure("latency", name, "first token p99", p99, "ms");
		report.figure("latency", name, "served", fleet.servedInAll(), "requests");
		report.figure("latency", name, "prefix cache hits", 100.0 * fleet.cacheHits / fleet.sends, "%");
		return p99;
	}

	private static Fleet fleet(Fleet.Policy policy, long seed) {
		String yaml = "template: t\nversions: [{version: m@v1}]\nteams:\n" + Fixture.team("a", 1, 0);
		Fleet fleet = new Fleet(Fixture.revision(yaml), policy, AGENTS, 0, seed);
		Random random = new Random(seed);
		double meanService = 1500;
		double perMilli = LOAD * AGENTS * 8 / (meanService + 100);
		double time = 0;
		for (int i = 0; i < REQUESTS; i++) {
			time += Timeline.gap(random, perMilli);
			long service = Math.round(meanService / 1.65 * Math.exp(random.nextGaussian()));
			long prefix = (long) (Math.pow(random.nextDouble(), 2) * 400);
			fleet.arrive((long) time, new TeamId("a"), service, 30_000, prefix);
		}
		fleet.run();
		return fleet;
	}

}
