package org.gullsaddle.measure;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Runs the experiments: all, or those named.
 */
public final class Measure {

	private Measure() {
	}

	/**
	 * Runs experiments.
	 * @param args names of experiments, and {@code --seed N}
	 */
	public static void main(String[] args) {
		System.setProperty("java.awt.headless", "true");
		long seed = 1;
		Map<String, Experiment> all = all();
		Map<String, Experiment> chosen = new LinkedHashMap<>();
		for (int i = 0; i < args.length; i++) {
			if (args[i].equals("--seed") && i + 1 < args.length) {
				i++;
				seed = Long.parseLong(args[i]);
			}
			else if (all.containsKey(args[i])) {
				chosen.put(args[i], all.get(args[i]));
			}
			else {
				System.err.println("measure: no experiment '" + args[i] + "'; there are " + all.keySet());
				System.exit(2);
			}
		}
		Report report = new Report();
		for (Experiment experiment : (chosen.isEmpty() ? all : chosen).values()) {
			experiment.run(report, seed);
		}
		report.end();
	}

	private static Map<String, Experiment> all() {
		Map<String, Experiment> all = new LinkedHashMap<>();
		all.put("cost", new CostExperiment());
		all.put("latency", new LatencyExperiment());
		all.put("exposure", new ExposureExperiment());
		all.put("allowance", new AllowanceExperiment());
		all.put("overload", new OverloadExperiment());
		all.put("placement", new PlacementExperiment());
		all.put("size", new SizeExperiment());
		all.put("cascade", new CascadeExperiment());
		all.put("burst", new BurstExperiment());
		all.put("ablation", new AblationExperiment());
		all.put("capacity", new CapacityExperiment());
		return all;
	}

	/**
	 * One experiment.
	 */
	interface Experiment {

		/**
		 * Runs it.
		 */
		void run(Report report, long seed);

	}

}
