package org.gullsaddle.serve;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The models of all replicas' prefix caches, which together track a bounded number of
 * parts: callers state how many tokens a part has, so that capacities bound no memory.
 * Confined to one thread.
 */
final class PrefixCaches {

	private final int maxParts;

	/** The caches that track parts, the least recently used one first. */
	private final Set<PrefixCacheModel> caches = new LinkedHashSet<>();

	private int parts;

	PrefixCaches(int maxParts) {
		this.maxParts = maxParts;
	}

	/**
	 * Records that a replica reads a prompt, and evicts parts of the least recently used
	 * caches beyond the largest number.
	 */
	void onPromptRead(PrefixCacheModel cache, String model, List<PromptPart> read, long capacity) {
		remove(cache);
		cache.onPromptRead(model, read, capacity);
		this.caches.add(cache);
		this.parts += cache.size();
		while (this.parts > this.maxParts) {
			PrefixCacheModel oldest = this.caches.iterator().next();
			if (oldest.size() == 0) {
				this.caches.remove(oldest);
			}
			else {
				oldest.evict();
				this.parts--;
			}
		}
	}

	/**
	 * Removes the cache of a replica that has gone.
	 */
	void remove(PrefixCacheModel cache) {
		if (this.caches.remove(cache)) {
			this.parts -= cache.size();
		}
	}

}
