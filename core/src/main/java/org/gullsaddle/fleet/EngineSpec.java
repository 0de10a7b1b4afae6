package org.gullsaddle.fleet;

import java.util.List;

/**
 * The specification of a service's model engines.
 *
 * @param slots how many requests one runs at once
 * @param cacheTokens how many tokens its memory can hold, for running requests and cached
 * prompt parts together
 * @param eventTokens how many tokens one event of a stream contains
 * @param models the models it can run
 */
public record EngineSpec(int slots, long cacheTokens, int eventTokens, List<ModelSize> models) {

	public EngineSpec {
		models = List.copyOf(models);
	}

	/**
	 * Returns whether a request fits into an engine's memory if nothing else runs.
	 * @param tokens how many tokens it reads and may generate
	 * @return true if it fits
	 */
	public boolean fits(long tokens) {
		return tokens <= this.cacheTokens;
	}

}
