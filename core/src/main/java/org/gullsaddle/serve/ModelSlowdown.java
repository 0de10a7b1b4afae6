package org.gullsaddle.serve;

import java.util.List;

import org.gullsaddle.fleet.ModelSize;

/**
 * How much longer models take over a token. The prices stand for it: who takes longer
 * costs more. The time between a stream's events does not tell, as models that run side
 * by side all slow down to the slowest.
 */
public final class ModelSlowdown {

	/** Stands for a price of nothing. */
	private static final double MIN_COST = 1e-9;

	/** How many times slower than the smallest a model is taken for at most. */
	private static final double MAX_SLOWDOWN = 15;

	/** Models that differ by less run in one batch without slowing each other much. */
	private static final double SIMILAR_SLOWDOWN_RATIO = 1.5;

	/** From this part of the largest model's pace on a model counts as large. */
	private static final double LARGE_RATIO = 1.0 / 3;

	private ModelSlowdown() {
	}

	/**
	 * Returns a model's pace.
	 * @param model the model
	 * @param models all models of its service
	 * @return how many times longer it takes over a token than the cheapest
	 */
	public static double of(String model, List<ModelSize> models) {
		double cheapest = models.stream().mapToDouble(ModelSize::cost).min().orElse(0);
		return models.stream()
			.filter((each) -> each.name().equals(model))
			.findFirst()
			.map((each) -> Math.clamp(each.cost() / Math.max(MIN_COST, cheapest), 1, MAX_SLOWDOWN))
			.orElse(1.0);
	}

	/**
	 * Returns how a model compares with the others.
	 * @param model the model
	 * @param models all models of its service
	 * @return its scale
	 */
	public static ModelSizeClass sizeClass(String model, List<ModelSize> models) {
		double largest = models.stream().mapToDouble((each) -> of(each.name(), models)).max().orElse(1);
		if (largest < SIMILAR_SLOWDOWN_RATIO) {
			return ModelSizeClass.SIMILAR;
		}
		double pace = of(model, models);
		return (pace > 1 && pace >= LARGE_RATIO * largest) ? ModelSizeClass.LARGE : ModelSizeClass.SMALL;
	}

}
