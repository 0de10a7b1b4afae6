package org.gullsaddle.fleet;

import java.util.List;

/**
 * The shape of a service's model engines.
 *
 * @param slots how many requests one runs at once
 * @param cacheTokens how many tokens its memory holds, for running requests and kept
 * prompt parts together
 * @param eventTokens how many tokens an event of a stream holds
 * @param models the models it can run
 */
public record EngineSpec(int slots, long cacheTokens, int eventTokens, List<ModelSize> models) {

	public EngineSpec {
		models = List.copyOf(models);
	}

	/**
	 * Says whether an engine has room for a request, if it runs nothing else.
	 * @param tokens how many tokens it reads and may generate
	 * @return true if it fits
	 */
	public boolean fits(long tokens) {
		return tokens <= this.cacheTokens;
	}

}
