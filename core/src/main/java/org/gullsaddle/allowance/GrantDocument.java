package org.gullsaddle.allowance;

import java.util.List;
import java.util.Map;

/**
 * The value in the store that divides the allowances among the entries.
 *
 * @param grants the grants on each allowance, by {@code template/team}
 * @param spending the budget reserved from each allowance, by {@code template/team}
 */
public record GrantDocument(Map<String, List<Grant>> grants, Map<String, Spending> spending) {

	/** No grants at all. */
	public static final GrantDocument EMPTY = new GrantDocument(Map.of(), Map.of());

	public GrantDocument {
		grants = Map.copyOf(grants);
		spending = Map.copyOf(spending);
	}

	/**
	 * The budget that entries reserved on one day.
	 *
	 * @param day days since the epoch, in UTC
	 * @param reservedMicros micro-dollars reserved, spent or not
	 */
	public record Spending(long day, long reservedMicros) {
	}

}
