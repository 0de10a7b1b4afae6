package org.gullsaddle.base;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * One version of one model, written {@code model@version}.
 *
 * @param model the model's name, such as {@code large}
 * @param version the version's name, such as {@code v3}
 */
public record ModelVersion(String model, String version) implements Comparable<ModelVersion> {

	private static final int MAX_LENGTH = 64;

	public ModelVersion {
		Check.checkId(model, "model", MAX_LENGTH);
		Check.checkId(version, "version", MAX_LENGTH);
		Check.that(model.indexOf('@') < 0 && version.indexOf('@') < 0, "model and version must not contain '@'");
	}

	/**
	 * Parses {@code model@version}.
	 * @param text the text form
	 * @return the model version
	 * @throws IllegalArgumentException if the text has another form
	 */
	@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
	public static ModelVersion of(String text) {
		Check.notNull(text, "model version");
		int at = text.indexOf('@');
		Check.that(at > 0, "model version must have the form model@version, not '" + text + "'");
		return new ModelVersion(text.substring(0, at), text.substring(at + 1));
	}

	@Override
	public int compareTo(ModelVersion other) {
		return toString().compareTo(other.toString());
	}

	@JsonValue
	@Override
	public String toString() {
		return this.model + "@" + this.version;
	}

}
