package org.gullsaddle.serve;

/**
 * What a replica is asked to do, as far as it decides where.
 *
 * @param model the model that is to run, empty for a plain service
 * @param prompt the prompt, {@link Prompt#NONE} for a plain service
 * @param pace how many times longer the model takes over a token than the smallest
 * @param cacheTokens how many tokens the engine's memory holds
 */
public record Task(String model, Prompt prompt, double pace, long cacheTokens) {

	/** A call to a plain service. */
	public static final Task PLAIN = new Task("", Prompt.NONE, 1, 0);

	boolean plain() {
		return this.model.isEmpty();
	}

}
