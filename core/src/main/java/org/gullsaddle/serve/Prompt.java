package org.gullsaddle.serve;

import java.util.List;
import java.util.OptionalInt;

/**
 * What a caller states about a generation before it runs.
 *
 * @param inputTokens how many tokens the prompt has
 * @param maxOutputTokens how many tokens may be generated
 * @param lengthHint the caller's estimate of the generated tokens: right in the median,
 * often far off
 * @param parts the prompt's parts in order, the last one specific to the request or its
 * session
 */
public record Prompt(int inputTokens, int maxOutputTokens, OptionalInt lengthHint, List<PromptPart> parts) {

	/** The prompt of a request that generates nothing. */
	public static final Prompt NONE = new Prompt(0, 0, OptionalInt.empty(), List.of());

	public Prompt {
		parts = List.copyOf(parts);
	}

	/**
	 * Returns the parts that other requests may share: all but the last.
	 * @return their ids in order
	 */
	public List<String> sharedPartIds() {
		int shared = Math.max(0, this.parts.size() - 1);
		return this.parts.subList(0, shared).stream().map(PromptPart::id).toList();
	}

	/**
	 * Returns how many tokens a replica may have to hold for the request.
	 * @return the prompt's tokens and those that may be generated
	 */
	public long maxTokens() {
		return (long) this.inputTokens + this.maxOutputTokens;
	}

	/**
	 * Estimates how many tokens will be generated.
	 * @return the hint, or the allowed number if there is none
	 */
	public int expectedOutputTokens() {
		int hint = this.lengthHint.orElse(this.maxOutputTokens);
		return (this.maxOutputTokens > 0) ? Math.min(hint, this.maxOutputTokens) : hint;
	}

}
