package org.gullsaddle.base;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies a session within its team.
 *
 * @param value the text form, 1 to 128 characters, never {@code null}
 */
public record SessionId(@JsonValue String value) implements Comparable<SessionId> {

	private static final int MAX_LENGTH = 128;

	@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
	public SessionId {
		Check.checkId(value, "session id", MAX_LENGTH);
	}

	@Override
	public int compareTo(SessionId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
