package org.gullsaddle.measure;

import java.util.Random;

import org.gullsaddle.base.TeamId;

/**
 * More work than the backend servers can do, a burst before dawn, and a third of the
 * backend servers failing.
 */
final class OverloadExperiment implements Measure.Experiment {

	private static final int AGENTS = 12;

	private static final int SERVICE_MILLIS = 1000;

	private static final long SECONDS = 60;

	private static final TeamId HIGH = new TeamId("high");

	private static final TeamId LOW = new TeamId("low");

	@Override
	public void run(Report report, long seed) {
		Fleet twice = fleet(2, 0, seed);
		report.atLeast("overload", "goodput of the high rank at 2x", 100 * twice.goodput(HIGH), "%", 95);
		report.figure("overload", "gullsaddle", "goodput of the low rank at 2x", 100 * twice.goodput(LOW), "%");
		report.figure("overload", "gullsaddle", "time to a refusal p50", twice.refusalWait.getValueAtPercentile(50),
				"ms");
		report.atMost("overload", "time to a refusal p95", twice.refusalWait.getValueAtPercentile(95), "ms", 1000);
		double peak = 0;
		double last = 0;
		for (int load = 1; load <= 5; load++) {
			last = fleet(load, 0, seed).servedInAll();
			peak = Math.max(peak, last);
			report.figure("overload", "gullsaddle", "served at " + load + "x", last, "requests");
		}
		report.atLeast("overload", "served at 5x against the peak", 100 * last / peak, "%", 95);
		Fleet failing = fleet(0.5, AGENTS / 3, seed);
		int arrived = failing.served.values().stream().mapToInt((counts) -> counts[1]).sum();
		report.atMost("overload", "extra work, a third failing", 100.0 * (failing.sends - arrived) / arrived, "%", 10);
		report.figure("overload", "gullsaddle", "served, a third failing", 100.0 * failing.servedInAll() / arrived,
				"%");
	}

	private static Fleet fleet(double load, int broken, long seed) {
		String yaml = "template: t\nversions: [{version: m@v1}]\nteams:\n" + Fixture.team("high", 9, 0)
				+ Fixture.team("low", 1, 0);
		Fleet fleet = new Fleet(Fixture.revision(yaml), Fleet.Policy.GULLSADDLE, AGENTS, broken, seed);
		Random random = new Random(seed);
		double perMilli = load * AGENTS * 8 / (SERVICE_MILLIS + 100.0);
		double time = 0;
		while (time < SECONDS * 1000) {
			time += Timeline.gap(random, perMilli);
			TeamId team = (random.nextDouble() < Math.min(0.3, 0.6 / load)) ? HIGH : LOW;
			fleet.arrive((long) time, team, 500 + random.nextInt(SERVICE_MILLIS), 5000, random.nextInt(400));
		}
		fleet.run();
		return fleet;
	}

}
