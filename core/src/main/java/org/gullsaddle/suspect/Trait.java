package org.gullsaddle.suspect;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

import org.gullsaddle.base.Check;
import org.gullsaddle.base.Fingerprint;

/**
 * A property that requests may share: a part of their prompts, under any model or under
 * one, or their whole content.
 *
 * @param value the text form, not {@code null}
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
	 * Returns the trait of all requests with the same content.
	 * @param content the hash of team and content
	 * @return the trait
	 */
	public static Trait content(Fingerprint content) {
		return new Trait(CONTENT + content);
	}

	/**
	 * Returns whether requests of different content may have it.
	 * @return true for a prompt part
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
	 * The kinds of traits, from the one that most requests may share to the most
	 * specific.
	 */
	enum Kind {

		/** A prompt part. */
		PART,

		/** A prompt part under one model. */
		PART_UNDER_MODEL,

		/** A request's whole content. */
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
