package org.gullsaddle.base;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a team, the unit of allowances and bills.
 *
 * @param value the text form, 1 to 64 characters, never {@code null}
 */
public record TeamId(@JsonValue String value) implements Comparable<TeamId> {

	private static final int MAX_LENGTH = 64;

	@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
	public TeamId {
		Check.checkId(value, "team", MAX_LENGTH);
	}

	@Override
	public int compareTo(TeamId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
