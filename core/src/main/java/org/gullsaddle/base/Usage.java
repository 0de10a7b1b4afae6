package org.gullsaddle.base;

/**
 * The tokens that one attempt read and generated.
 *
 * @param promptTokens tokens of the prompt
 * @param outputTokens tokens generated
 */
public record Usage(long promptTokens, long outputTokens) {

	/** No tokens at all. */
	public static final Usage NONE = new Usage(0, 0);

	public Usage {
		Check.that(promptTokens >= 0 && outputTokens >= 0, "token counts must not be negative");
	}

}
