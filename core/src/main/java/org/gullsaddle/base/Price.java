package org.gullsaddle.base;

/**
 * What a version costs, in micro-dollars (a millionth of a dollar) per thousand tokens.
 *
 * @param promptPerThousand for tokens of the prompt
 * @param outputPerThousand for tokens generated
 * @param perCall for each call, in micro-dollars
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
