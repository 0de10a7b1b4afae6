package org.gullsaddle.yaml;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/**
 * A node of a YAML text. Its methods return a usable value even if the text is invalid,
 * and record the problem; {@link #throwIfProblems()} throws once everything was read, so
 * that the author sees all problems at once.
 *
 * <pre>
 * YamlNode node = YamlNode.read(yaml);
 * node.only("name", "size");
 * String name = node.convert("name", Function.identity());
 * node.check();
 * </pre>
 */
public final class YamlNode {

	private static final long SECOND_MILLIS = 1000;

	private static final long MINUTE_MILLIS = 60 * SECOND_MILLIS;

	private final JsonNode node;

	private final String pointer;

	private final LineIndex lines;

	private final List<Problem> problems;

	private YamlNode(JsonNode node, String pointer, LineIndex lines, List<Problem> problems) {
		this.node = node;
		this.pointer = pointer;
		this.lines = lines;
		this.problems = problems;
		if (!node.isObject() && pointer.isEmpty()) {
			addProblem("", "must be a mapping of keys to values");
		}
	}

	/**
	 * Parses a YAML text.
	 * @param yaml the text
	 * @return its root
	 * @throws YamlException if it is not YAML
	 */
	public static YamlNode read(String yaml) throws YamlException {
		try {
			JsonNode root = YamlTree.read(yaml);
			return new YamlNode(root, "", LineIndex.of(yaml), new ArrayList<>());
		}
		catch (JsonProcessingException ex) {
			int line = (ex.getLocation() != null) ? ex.getLocation().getLineNr() : 0;
			throw new YamlException(List.of(new Problem(line, "file", ex.getOriginalMessage())));
		}
		catch (IOException ex) {
			throw new YamlException(List.of(new Problem(0, "file", ex.getMessage())));
		}
	}

	/**
	 * Throws if any problem was recorded in the text.
	 * @throws YamlException with all problems
	 */
	public void throwIfProblems() throws YamlException {
		if (!this.problems.isEmpty()) {
			throw new YamlException(this.problems);
		}
	}

	/**
	 * Returns whether any problem was recorded in the text.
	 * @return true if one was
	 */
	public boolean hasProblems() {
		return !this.problems.isEmpty();
	}

	/**
	 * Records a problem.
	 * @param key the key that has it, or empty for this node itself
	 * @param reason what is wrong and what is allowed
	 */
	public void addProblem(String key, String reason) {
		String valuePointer = key.isEmpty() ? this.pointer : this.pointer + "/" + key;
		String path = valuePointer.isEmpty() ? "file" : valuePointer.substring(1).replace('/', '.');
		this.problems.add(new Problem(this.lines.line(valuePointer), path, reason));
	}

	/**
	 * Records a problem for every key that is not allowed in this mapping.
	 * @param keys the allowed keys
	 */
	public void checkKeys(String... keys) {
		Set<String> known = Set.of(keys);
		this.node.fieldNames().forEachRemaining((name) -> {
			if (!known.contains(name)) {
				addProblem(name, "unknown key; allowed are " + String.join(", ", keys));
			}
		});
	}

	/**
	 * Returns whether a key is present.
	 * @param key the key
	 * @return true if it has a value
	 */
	public boolean has(String key) {
		return this.node.hasNonNull(key);
	}

	/**
	 * Returns the mapping under a key.
	 * @param key the key
	 * @return the mapping; an empty one if it is not given
	 */
	public YamlNode child(String key) {
		JsonNode value = this.node.path(key);
		if (value.isMissingNode() || value.isNull()) {
			value = JsonNodeFactory.instance.objectNode();
		}
		else if (!value.isObject()) {
			addProblem(key, "must be a mapping of keys to values");
			value = JsonNodeFactory.instance.objectNode();
		}
		return new YamlNode(value, this.pointer + "/" + key, this.lines, this.problems);
	}

	/**
	 * Returns the keys of this mapping.
	 * @return the keys, in the order written
	 */
	public List<String> keys() {
		List<String> keys = new ArrayList<>();
		this.node.fieldNames().forEachRemaining(keys::add);
		return keys;
	}

	/**
	 * Returns the items of a list that must not be empty.
	 * @param key the key
	 * @return the items
	 */
	public List<YamlNode> items(String key) {
		if (!this.node.path(key).isArray() || this.node.path(key).isEmpty()) {
			addProblem(key, "must be a list with at least one item");
			return List.of();
		}
		return optionalItems(key);
	}

	/**
	 * Returns the items of a list.
	 * @param key the key
	 * @return the items; none if it is not given
	 */
	public List<YamlNode> optionalItems(String key) {
		List<YamlNode> items = new ArrayList<>();
		JsonNode list = this.node.path(key);
		if (list.isMissingNode() || list.isNull()) {
			return items;
		}
		if (!list.isArray()) {
			addProblem(key, "must be a list");
			return items;
		}
		for (int i = 0; i < list.size(); i++) {
			items.add(new YamlNode(list.get(i), this.pointer + "/" + key + "/" + i, this.lines, this.problems));
		}
		return items;
	}

	/**
	 * Returns a required value.
	 * @param <T> the type of the value
	 * @param key the key
	 * @param conversion converts the text; its {@link IllegalArgumentException} is
	 * recorded as a problem
	 * @return the value, or null if there was a problem
	 */
	public <T> T convert(String key, Function<String, T> conversion) {
		if (!has(key)) {
			addProblem(key, "is missing");
			return null;
		}
		return convert(key, this.node.get(key).asText(), conversion);
	}

	/**
	 * Returns the value of this node itself, such as a list item.
	 * @param <T> the type of the value
	 * @param conversion converts the text
	 * @return the value, or null if there was a problem
	 */
	public <T> T convertSelf(Function<String, T> conversion) {
		return convert("", this.node.asText(), conversion);
	}

	/**
	 * Returns a value converted from the name of a key.
	 * @param <T> the type of the value
	 * @param key the key
	 * @param conversion converts the key
	 * @return the value, or null if there was a problem
	 */
	public <T> T convertKey(String key, Function<String, T> conversion) {
		return convert(key, key, conversion);
	}

	/**
	 * Returns one of several values.
	 * @param <T> the type of the values
	 * @param key the key
	 * @param values the allowed values, identified by their text form
	 * @param fallback the value if none is given, or null if it is required
	 * @return the value
	 */
	public <T> T choice(String key, T[] values, T fallback) {
		if (!has(key)) {
			if (fallback == null) {
				addProblem(key, "is missing");
			}
			return fallback;
		}
		String text = this.node.get(key).asText();
		for (T value : values) {
			if (value.toString().equals(text)) {
				return value;
			}
		}
		addProblem(key, "'" + text + "' is not allowed; allowed are "
				+ String.join(", ", Arrays.stream(values).map(Object::toString).toList()));
		return fallback;
	}

	/**
	 * Returns a boolean.
	 * @param key the key
	 * @param fallback the value if none is given
	 * @return the value
	 */
	public boolean bool(String key, boolean fallback) {
		if (!has(key)) {
			return fallback;
		}
		if (!this.node.get(key).isBoolean()) {
			addProblem(key, "must be true or false");
		}
		return this.node.get(key).asBoolean();
	}

	/**
	 * Returns a number.
	 * @param key the key
	 * @param min the smallest allowed value
	 * @param max the largest allowed value
	 * @param fallback the value if none is given, or null if it is required
	 * @return the number
	 */
	public double number(String key, double min, double max, Double fallback) {
		if (!has(key)) {
			if (fallback == null) {
				addProblem(key, "is missing");
			}
			return (fallback != null) ? fallback : min;
		}
		JsonNode value = this.node.get(key);
		if (!value.isNumber() || value.asDouble() < min || value.asDouble() > max) {
			addProblem(key, "must be a number between " + format(min) + " and " + format(max));
			return min;
		}
		return value.asDouble();
	}

	/**
	 * Returns a duration such as {@code 500ms}, {@code 30s} or {@code 2m}.
	 * @param key the key
	 * @param fallback the value if none is given, in milliseconds
	 * @return the duration in milliseconds
	 */
	public long millis(String key, long fallback) {
		if (!has(key)) {
			return fallback;
		}
		String text = this.node.get(key).asText();
		try {
			if (text.endsWith("ms")) {
				return checkPositive(key, Long.parseLong(text.substring(0, text.length() - 2)));
			}
			if (text.endsWith("s")) {
				return checkPositive(key, Long.parseLong(text.substring(0, text.length() - 1)) * SECOND_MILLIS);
			}
			if (text.endsWith("m")) {
				return checkPositive(key, Long.parseLong(text.substring(0, text.length() - 1)) * MINUTE_MILLIS);
			}
		}
		catch (NumberFormatException ex) {
			// reported below with the allowed forms
		}
		addProblem(key, "must be a time such as 500ms, 30s or 2m, not '" + text + "'");
		return fallback;
	}

	private long checkPositive(String key, long millis) {
		if (millis <= 0) {
			addProblem(key, "must be more than 0");
		}
		return millis;
	}

	private <T> T convert(String key, String text, Function<String, T> conversion) {
		try {
			return conversion.apply(text);
		}
		catch (IllegalArgumentException ex) {
			addProblem(key, ex.getMessage());
			return null;
		}
	}

	private static String format(double number) {
		return (number == Math.rint(number)) ? Long.toString((long) number) : Double.toString(number);
	}

}
