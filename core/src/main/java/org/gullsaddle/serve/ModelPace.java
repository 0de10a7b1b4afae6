package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.gullsaddle.fleet.ModelSize;

/**
 * How much longer models take over a token, learned from the streams that pass through.
 * Confined to one thread.
 */
public final class ModelPace {

	/**
	 * How fast the least time forgets. Models that run side by side all slow down to the
	 * slowest, so that means say nothing; the least times are those of streams alone.
	 */
	private static final double FORGETTING = 0.01;

	/** Stands for a price of nothing. */
	private static final double MIN_COST = 1e-9;

	/** How many times slower than the smallest a model is taken for at most. */
	private static final double MAX_PACE = 15;

	private final Map<String, Double> eventMillis = new HashMap<>();

	/**
	 * Notes a stream.
	 * @param model the model that made it
	 * @param millis the time between two of its events on average, in milliseconds
	 */
	public void streamed(String model, double millis) {
		this.eventMillis.merge(model, millis, (before, now) -> Math.min(now, before + FORGETTING * (now - before)));
	}

	/**
	 * Returns a model's pace. Until both were seen, the prices stand for it: who takes
	 * longer costs more.
	 * @param model the model
	 * @param models all models of its service
	 * @return how many times longer it takes over a token than the cheapest
	 */
	public double of(String model, List<ModelSize> models) {
		ModelSize cheapest = null;
		ModelSize asked = null;
		for (ModelSize each : models) {
			cheapest = (cheapest == null || each.cost() < cheapest.cost()) ? each : cheapest;
			asked = each.name().equals(model) ? each : asked;
		}
		if (asked == null) {
			return 1;
		}
		double pace = asked.cost() / Math.max(MIN_COST, cheapest.cost());
		return Math.clamp(pace, 1, MAX_PACE);
	}

}
