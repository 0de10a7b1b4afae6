package org.gullsaddle.allowance;

import java.util.List;
import java.util.Map;

/**
 * The value in the store that shares the allowances out.
 *
 * @param grants the grants on each allowance, by {@code template/team}
 * @param spending the money handed out of each allowance, by {@code template/team}
 */
public record GrantDocument(Map<String, List<Grant>> grants, Map<String, Spending> spending) {

	/** No grants at all. */
	public static final GrantDocument EMPTY = new GrantDocument(Map.of(), Map.of());

	public GrantDocument {
		grants = Map.copyOf(grants);
		spending = Map.copyOf(spending);
	}

	/**
	 * Money handed out to entries on one day.
	 *
	 * @param day days since the epoch, in UTC
	 * @param reservedMicros micro-dollars handed out, spent or not
	 */
	public record Spending(long day, long reservedMicros) {
	}

}
