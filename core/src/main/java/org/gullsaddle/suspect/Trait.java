package org.gullsaddle.suspect;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

import org.gullsaddle.base.Check;
import org.gullsaddle.base.Fingerprint;

/**
 * What requests may have in common: a part of their prompts, or all of their content.
 *
 * @param value the text form, never {@code null}
 */
public record Trait(@JsonValue String value) implements Comparable<Trait> {

	private static final String PART = "part:";

	private static final String CONTENT = "content:";

	@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
	public Trait {
		Check.notNull(value, "value");
	}

	/**
	 * Returns the trait of all requests with a part in their prompts.
	 * @param id identifies the part
	 * @return the trait
	 */
	public static Trait part(String id) {
		return new Trait(PART + id);
	}

	/**
	 * Returns the trait of a request and all that repeat it.
	 * @param content the hash of its team and content
	 * @return the trait
	 */
	public static Trait content(Fingerprint content) {
		return new Trait(CONTENT + content);
	}

	/**
	 * Says whether requests of different content have it.
	 * @return true for a part of prompts
	 */
	public boolean isPart() {
		return this.value.startsWith(PART);
	}

	@Override
	public int compareTo(Trait other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
