package org.gullsaddle.serve;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Models which prompt parts a replica likely holds in its prefix cache, from what this
 * node sent there. The least recently used parts are evicted, as they are at the replica.
 * Confined to one thread.
 */
public final class PrefixCacheModel {

	private final Map<String, Integer> tokensByPart = new LinkedHashMap<>(16, 0.75f, true);

	private long tokens;

	/**
	 * Records that a replica reads a prompt.
	 * @param model the model that reads it; each model has its own cached parts
	 * @param parts the parts in order
	 * @param capacity how many tokens of parts the replica caches
	 */
	public void onPromptRead(String model, List<PromptPart> parts, long capacity) {
		for (PromptPart part : parts) {
			Integer previous = this.tokensByPart.put(key(model, part), part.tokens());
			this.tokens += part.tokens() - ((previous != null) ? previous : 0);
		}
		while (this.tokens > capacity && !this.tokensByPart.isEmpty()) {
			evict();
		}
	}

	/**
	 * Evicts the least recently used part, of which there must be one.
	 */
	void evict() {
		Iterator<Integer> leastRecentlyUsed = this.tokensByPart.values().iterator();
		this.tokens -= leastRecentlyUsed.next();
		leastRecentlyUsed.remove();
	}

	int size() {
		return this.tokensByPart.size();
	}

	/**
	 * Returns how many tokens of a prompt need not be read again. A part counts only if
	 * all parts before it are cached too.
	 * @param model the model that is to read it
	 * @param parts the parts in order
	 * @return the number of tokens
	 */
	public int cachedTokens(String model, List<PromptPart> parts) {
		int cached = 0;
		for (PromptPart part : parts) {
			if (!contains(model, part)) {
				return cached;
			}
			cached += part.tokens();
		}
		return cached;
	}

	boolean contains(String model, PromptPart part) {
		return this.tokensByPart.containsKey(key(model, part));
	}

	private static String key(String model, PromptPart part) {
		return model + '/' + part.id();
	}

}
