package org.gullsaddle.serve;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import org.gullsaddle.fleet.Route;

/**
 * Chooses among a route's models: the smallest first, and the largest if the smallest
 * doubts its own answer.
 */
public final class ModelChooser {

	/**
	 * The confidence below which an answer is dropped. Of answers of the smallest model
	 * about two in five lie below it, near the share that is too hard for it; at 80 the
	 * large models' queues made one in four late.
	 */
	private static final int DOUBT_BELOW = 55;

	/**
	 * Returns the model to ask first.
	 * @param route the route, with one model or more
	 * @return the model
	 */
	public String first(Route route) {
		return route.models().get(0);
	}

	/**
	 * Returns the model to ask in place of one that doubts its answer.
	 * @param route the route
	 * @param model the model that answered
	 * @param confidence its own opinion of the answer, 0 to 100, if it told
	 * @return the larger model, or empty if the answer is to be kept
	 */
	public Optional<String> larger(Route route, String model, OptionalInt confidence) {
		List<String> models = route.models();
		if (confidence.isEmpty() || confidence.getAsInt() >= DOUBT_BELOW || models.isEmpty()) {
			return Optional.empty();
		}
		String largest = models.get(models.size() - 1);
		return model.equals(largest) ? Optional.empty() : Optional.of(largest);
	}

}
