package org.gullsaddle.serve;

import java.util.List;

import org.gullsaddle.fleet.ModelSize;

/**
 * Derives how much longer models take over a token from their prices: slower models cost
 * more. The time between a stream's events does not show it, because models that run side
 * by side all slow down to the slowest.
 */
public final class ModelSlowdown {

	/** Replaces a price of zero. */
	private static final double MIN_COST = 1e-9;

	/** The largest slowdown that is assumed, relative to the smallest model. */
	private static final double MAX_SLOWDOWN = 15;

	/**
	 * Models whose slowdowns differ by less run in one batch without slowing each other
	 * much.
	 */
	private static final double SIMILAR_SLOWDOWN_RATIO = 1.5;

	/** A model counts as large from this share of the largest model's slowdown. */
	private static final double LARGE_RATIO = 1.0 / 3;

	private ModelSlowdown() {
	}

	/**
	 * Returns a model's slowdown.
	 * @param model the model
	 * @param models all models of its service
	 * @return how many times longer it takes over a token than the cheapest
	 */
	public static double of(String model, List<ModelSize> models) {
		double lowestCost = models.stream().mapToDouble(ModelSize::cost).min().orElse(0);
		return models.stream()
			.filter((each) -> each.name().equals(model))
			.findFirst()
			.map((each) -> Math.clamp(each.cost() / Math.max(MIN_COST, lowestCost), 1, MAX_SLOWDOWN))
			.orElse(1.0);
	}

	/**
	 * Returns a model's size class.
	 * @param model the model
	 * @param models all models of its service
	 * @return its size class
	 */
	public static ModelSizeClass sizeClass(String model, List<ModelSize> models) {
		double maxSlowdown = models.stream().mapToDouble((each) -> of(each.name(), models)).max().orElse(1);
		if (maxSlowdown < SIMILAR_SLOWDOWN_RATIO) {
			return ModelSizeClass.SIMILAR;
		}
		double slowdown = of(model, models);
		return (slowdown > 1 && slowdown >= LARGE_RATIO * maxSlowdown) ? ModelSizeClass.LARGE : ModelSizeClass.SMALL;
	}

}
