package org.gullsaddle.base;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A hash of a request's team and content, equal for a request that is sent again.
 *
 * @param value the text form, 1 to 64 characters, not {@code null}
 */
public record Fingerprint(@JsonValue String value) implements Comparable<Fingerprint> {

	private static final int MAX_LENGTH = 64;

	@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
	public Fingerprint {
		Check.checkId(value, "fingerprint", MAX_LENGTH);
	}

	@Override
	public int compareTo(Fingerprint other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
