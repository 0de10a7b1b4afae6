package org.gullsaddle.base;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a template, which callers give in the {@code model} field of a request.
 *
 * @param value the text form, 1 to 64 characters, never {@code null}
 */
public record TemplateName(@JsonValue String value) implements Comparable<TemplateName> {

	private static final int MAX_LENGTH = 64;

	@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
	public TemplateName {
		Check.checkId(value, "template name", MAX_LENGTH);
	}

	@Override
	public int compareTo(TemplateName other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
