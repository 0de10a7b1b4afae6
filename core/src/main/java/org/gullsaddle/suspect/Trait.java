package org.gullsaddle.suspect;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

import org.gullsaddle.base.Check;
import org.gullsaddle.base.Fingerprint;

/**
 * What requests may have in common: a part of their prompts, under any model or one, or
 * all of their content.
 *
 * @param value the text form, never {@code null}
 */
public record Trait(@JsonValue String value) implements Comparable<Trait> {

	private static final String PART = "part:";

	private static final String PART_UNDER_MODEL = "part-under-model:";

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
	 * Returns the trait of all requests with a part in their prompts that one model runs.
	 * @param id identifies the part
	 * @param model the model
	 * @return the trait
	 */
	public static Trait part(String id, String model) {
		return new Trait(PART_UNDER_MODEL + model + '/' + id);
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
		return kind() != Kind.CONTENT;
	}

	Kind kind() {
		if (this.value.startsWith(PART)) {
			return Kind.PART;
		}
		return this.value.startsWith(PART_UNDER_MODEL) ? Kind.PART_UNDER_MODEL : Kind.CONTENT;
	}

	/**
	 * What a trait is, that which most requests may have first.
	 */
	enum Kind {

		/** A part of prompts. */
		PART,

		/** A part of prompts, if one model runs them. */
		PART_UNDER_MODEL,

		/** All of a request's content. */
		CONTENT

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
