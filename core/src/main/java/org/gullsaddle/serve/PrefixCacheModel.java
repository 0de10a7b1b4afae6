package org.gullsaddle.serve;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which prompt parts a replica likely keeps in its memory, judged by what this node sent
 * there. The least recently used ones yield, as they do at the replica.
 */
public final class PrefixCacheModel {

	private final Map<String, Integer> tokensByPart = new LinkedHashMap<>(16, 0.75f, true);

	private long tokens;

	/**
	 * Notes that a replica reads a prompt.
	 * @param model the model that reads it; parts are kept for each model by itself
	 * @param parts the parts in order
	 * @param capacity how many tokens of parts the replica keeps
	 */
	public void onPromptRead(String model, List<PromptPart> parts, long capacity) {
		for (PromptPart part : parts) {
			Integer before = this.tokensByPart.put(key(model, part), part.tokens());
			this.tokens += part.tokens() - ((before != null) ? before : 0);
		}
		Iterator<Integer> oldest = this.tokensByPart.values().iterator();
		while (this.tokens > capacity && oldest.hasNext()) {
			this.tokens -= oldest.next();
			oldest.remove();
		}
	}

	/**
	 * Returns how many tokens of a prompt need not be read again. A part counts only if
	 * all before it are kept too.
	 * @param model the model that is to read it
	 * @param parts the parts in order
	 * @return the number of tokens
	 */
	public int cachedTokens(String model, List<PromptPart> parts) {
		int kept = 0;
		for (PromptPart part : parts) {
			if (!this.tokensByPart.containsKey(key(model, part))) {
				return kept;
			}
			kept += part.tokens();
		}
		return kept;
	}

	private static String key(String model, PromptPart part) {
		return model + '/' + part.id();
	}

}
