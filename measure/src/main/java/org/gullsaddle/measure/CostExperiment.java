package org.gullsaddle.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;

import org.gullsaddle.base.AgentInfo;
import org.gullsaddle.base.Completion;
import org.gullsaddle.base.LoadReport;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.base.RequestId;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.Usage;
import org.gullsaddle.clock.Moment;
import org.gullsaddle.route.IncomingRequest;
import org.gullsaddle.route.Router;
import org.gullsaddle.route.RouterAction;
import org.gullsaddle.route.RouterEvent;
import org.gullsaddle.route.RouterSettings;

/**
 * Cost at the quality target: requests of hidden difficulty, three models that answer
 * well up to some difficulty, ratings that scatter.
 */
final class CostExperiment implements Measure.Experiment {

	private static final int REQUESTS = 20_000;

	private static final List<String> MODELS = List.of("small@v1", "medium@v1", "large@v1");

	private static final double[] REACH = { 0.60, 0.85, 0.985 };

	private static final double[] PRICE = { 1, 4, 10 };

	private static final Usage USAGE = new Usage(0, 300);

	@Override
	public void run(Report report, long seed) {
		for (double target : new double[] { 0.70, 0.80, 0.85 }) {
			Random random = new Random(seed);
			List<double[]> scores = new ArrayList<>();
			for (int i = 0; i < REQUESTS; i++) {
				scores.add(scores(random));
			}
			String metric = "cost at target " + target;
			Outcome best = fixed(scores, 2);
			Outcome cheapest = fixed(scores, 0);
			Outcome cascade = cascade(scores, 0.8);
			Outcome oracle = oracle(scores, target);
			Outcome ours = ours(scores, target, seed);
			show(report, "always-best", metric, best);
			show(report, "always-cheapest", metric, cheapest);
			show(report, "static cascade at 0.8", metric, cascade);
			show(report, "oracle", metric, oracle);
			report.atLeast("cost", "mean quality, target " + target, ours.quality(), "rating", target);
			report.ratioAtMost("cost", metric, ours.cost(), "units", "oracle", oracle.cost(), 1.15);
			report.ratioAtMost("cost", metric, ours.cost(), "units", "always-best", best.cost(), 0.6);
		}
	}

	private static void show(Report report, String policy, String metric, Outcome outcome) {
		report.figure("cost", policy, metric, outcome.cost(), "units");
		report.figure("cost", policy, "mean quality", outcome.quality(), "rating");
	}

	private static double[] scores(Random random) {
		double difficulty = random.nextDouble();
		double[] scores = new double[MODELS.size()];
		for (int i = 0; i < scores.length; i++) {
			double mean = (difficulty < REACH[i]) ? 0.93 : 0.35;
			scores[i] = Math.clamp(mean + 0.05 * random.nextGaussian(), 0, 1);
		}
		return scores;
	}

	private static Outcome fixed(List<double[]> scores, int model) {
		double quality = scores.stream().mapToDouble((each) -> each[model]).average().orElse(0);
		return new Outcome(PRICE[model], quality);
	}

	private static Outcome cascade(List<double[]> scores, double bar) {
		double cost = 0;
		double quality = 0;
		for (double[] each : scores) {
			boolean passes = each[0] >= bar;
			cost += passes ? PRICE[0] : PRICE[0] + PRICE[2];
			quality += passes ? each[0] : each[2];
		}
		return new Outcome(cost / scores.size(), quality / scores.size());
	}

	/**
	 * Knows every score beforehand: starts all on the cheapest and buys the most quality
	 * for the money until the mean reaches the target.
	 */
	private static Outcome oracle(List<double[]> scores, double target) {
		double cost = PRICE[0] * scores.size();
		double quality = scores.stream().mapToDouble((each) -> each[0]).sum();
		List<double[]> upgrades = new ArrayList<>();
		for (double[] each : scores) {
			for (int model = 1; model < PRICE.length; model++) {
				if (each[model] > each[0] + 0.3) {
					upgrades.add(new double[] { each[model] - each[0], PRICE[model] - PRICE[0] });
					break;
				}
			}
		}
		upgrades.sort(Comparator.comparingDouble((each) -> -each[0] / each[1]));
		for (double[] upgrade : upgrades) {
			if (quality >= target * scores.size()) {
				break;
			}
			quality += upgrade[0];
			cost += upgrade[1];
		}
		return new Outcome(cost / scores.size(), quality / scores.size());
	}

	private static Outcome ours(List<double[]> scores, double target, long seed) {
		StringBuilder yaml = new StringBuilder("template: t\nversions:\n");
		double[] expected = { 0.70, 0.85, 0.92 };
		for (int i = 0; i < MODELS.size(); i++) {
			yaml.append("  - {version: ").append(MODELS.get(i)).append(", quality: ").append(expected[i]);
			yaml.append(", price: {output: ").append(PRICE[i]).append("}}\n");
		}
		yaml.append("teams:\n").append(Fixture.team("a", 1, target));
		Router router = new Router(RouterSettings.builder("w", "w1").build(), new Random(seed));
		router.handle(Moment.at(0), new RouterEvent.TemplateChanged(Fixture.revision(yaml.toString())));
		Set<ModelVersion> versions = Set.copyOf(MODELS.stream().map(ModelVersion::of).toList());
		for (String agent : List.of("a1", "a2")) {
			router.handle(Moment.at(0), new RouterEvent.AgentUp(
					new AgentInfo(new NodeId(agent), "w", "w1", versions, new LoadReport(0, 0, 8))));
		}
		double cost = 0;
		double quality = 0;
		for (int i = 0; i < scores.size(); i++) {
			Served served = serve(router, i, scores.get(i));
			cost += served.costMicros() / (double) USAGE.outputTokens();
			quality += served.quality();
		}
		return new Outcome(cost / scores.size(), quality / scores.size());
	}

	private static Served serve(Router router, int number, double[] scores) {
		Moment now = Moment.at(number * 10L + 10);
		IncomingRequest request = IncomingRequest.builder(new RequestId("r" + number), new TeamId("a"), Fixture.NAME)
			.deadline(Long.MAX_VALUE)
			.build();
		List<RouterAction> todo = new ArrayList<>(router.handle(now, new RouterEvent.RequestArrived(request)));
		double quality = 0;
		long cost = 0;
		while (!todo.isEmpty()) {
			RouterAction action = todo.remove(0);
			if (action instanceof RouterAction.Send send) {
				todo.addAll(router.handle(now, new RouterEvent.AttemptDone(send.dispatch().attempt(),
						new Completion(200, "", "stop", USAGE), 0)));
			}
			else if (action instanceof RouterAction.RateAnswer rate) {
				double score = scores[MODELS.indexOf(rate.version().toString())];
				todo.addAll(router.handle(now, new RouterEvent.AnswerRated(rate.attempt(), OptionalDouble.of(score))));
			}
			else if (action instanceof RouterAction.Complete complete) {
				quality = scores[MODELS.indexOf(complete.servedBy())];
				cost = complete.costMicros();
			}
		}
		return new Served(cost, quality);
	}

	private record Outcome(double cost, double quality) {
	}

	private record Served(long costMicros, double quality) {
	}

}
