package org.gullsaddle.base;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one request of a caller, over all of its attempts.
 *
 * @param value the text form, 1 to 64 characters, not {@code null}
 */
public record RequestId(@JsonValue String value) implements Comparable<RequestId> {

	private static final int MAX_LENGTH = 64;

	@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
	public RequestId {
		Check.checkId(value, "request id", MAX_LENGTH);
	}

	@Override
	public int compareTo(RequestId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
