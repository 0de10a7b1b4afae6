package org.gullsaddle.measure;

/**
 * What a model engine can do.
 *
 * @param stepMillis how long a step takes at pace 1, in which each running request
 * generates a token
 * @param stepMillisPerRequest how much longer for each running request
 * @param readTokensPerMilli how many prompt tokens are read in a millisecond at pace 1
 * @param chunkTokens how many prompt tokens are read between two steps at most
 * @param slots how many requests are read or run at once
 * @param memoryTokens how many tokens of prompt parts are kept
 */
record EngineShape(double stepMillis, double stepMillisPerRequest, double readTokensPerMilli, int chunkTokens,
		int slots, long memoryTokens) {

	/** Engines that run models of some ten billion parameters and more. */
	static final EngineShape LARGE_MODELS = new EngineShape(4.63, 0.153, 37.9, 1024, 64, 250_000);

	/**
	 * Returns an engine of the same kind that is faster.
	 * @param speed how many times faster
	 */
	EngineShape faster(double speed) {
		return new EngineShape(this.stepMillis / speed, this.stepMillisPerRequest / speed,
				this.readTokensPerMilli * speed, this.chunkTokens, this.slots, this.memoryTokens);
	}

}
