package org.gullsaddle.serve;

/**
 * The properties of a request that matter for the choice of a replica.
 *
 * @param model the model that is to run, empty for a plain service
 * @param prompt the prompt, {@link Prompt#NONE} for a plain service
 * @param slowdown how many times longer the model takes over a token than the smallest
 * @param sizeClass the model's size class
 * @param cacheTokens how many tokens the engine's memory holds
 * @param objectiveMillis how soon its answer is to begin, in milliseconds
 */
public record ReplicaTask(String model, Prompt prompt, double slowdown, ModelSizeClass sizeClass, long cacheTokens,
		long objectiveMillis) {

	/** The model of a call to a plain service. */
	public static final String NO_MODEL = "";

	/**
	 * Creates a call to a plain service.
	 * @param objectiveMillis how soon it is to be answered, in milliseconds
	 * @return the task
	 */
	public static ReplicaTask plainCall(long objectiveMillis) {
		return new ReplicaTask(NO_MODEL, Prompt.NONE, 1, ModelSizeClass.SIMILAR, 0, objectiveMillis);
	}

	boolean isPlainCall() {
		return this.model.isEmpty();
	}

}
