package org.gullsaddle.base;

/**
 * The price of a version in micro-dollars (millionths of a dollar) per thousand tokens.
 *
 * @param promptPerThousand per thousand tokens of the prompt
 * @param outputPerThousand per thousand generated tokens
 * @param perCall per call, in micro-dollars
 */
public record Price(long promptPerThousand, long outputPerThousand, long perCall) {

	private static final long THOUSAND = 1000;

	public Price {
		Check.that(promptPerThousand >= 0 && outputPerThousand >= 0 && perCall >= 0, "prices must not be negative");
	}

	/**
	 * Returns the cost of an attempt, rounded up.
	 * @param usage the tokens used
	 * @return the cost in micro-dollars
	 */
	public long costOf(Usage usage) {
		long tokens = usage.promptTokens() * this.promptPerThousand + usage.outputTokens() * this.outputPerThousand;
		return this.perCall + Math.ceilDiv(tokens, THOUSAND);
	}

}
