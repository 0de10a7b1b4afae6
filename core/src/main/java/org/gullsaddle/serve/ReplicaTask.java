package org.gullsaddle.serve;

/**
 * What a replica is asked to do, as far as it decides where.
 *
 * @param model the model that is to run, empty for a plain service
 * @param prompt the prompt, {@link Prompt#NONE} for a plain service
 * @param slowdown how many times longer the model takes over a token than the smallest
 * @param sizeClass how the model compares with the others of its service
 * @param cacheTokens how many tokens the engine's memory holds
 * @param objectiveMillis how soon its answer is to begin, in milliseconds
 */
public record ReplicaTask(String model, Prompt prompt, double slowdown, ModelSizeClass sizeClass, long cacheTokens,
		long objectiveMillis) {

	/**
	 * Makes a call to a plain service.
	 * @param objectiveMillis how soon it is to be answered, in milliseconds
	 * @return the task
	 */
	public static ReplicaTask plainCall(long objectiveMillis) {
		return new ReplicaTask("", Prompt.NONE, 1, ModelSizeClass.SIMILAR, 0, objectiveMillis);
	}

	boolean isPlainCall() {
		return this.model.isEmpty();
	}

}
