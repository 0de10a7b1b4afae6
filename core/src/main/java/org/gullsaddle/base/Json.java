package org.gullsaddle.base;

import java.io.IOException;
import java.util.Map;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Reads and writes JSON. Unknown fields are skipped, so that an older node can read what
 * a newer one wrote.
 */
public final class Json {

	/**
	 * Deepest nesting that is read: what handles a value recursively must fit into the
	 * stack of an event loop.
	 */
	private static final int MAX_DEPTH = 64;

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.serializationInclusion(JsonInclude.Include.NON_NULL)
		.build();

	static {
		MAPPER.getFactory()
			.setStreamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build());
	}

	private static final ObjectReader FIELDS = MAPPER.readerFor(new TypeReference<Map<String, Object>>() {
	}).with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

	private Json() {
	}

	/**
	 * Writes a value.
	 * @param value the value
	 * @return its JSON text
	 * @throws IllegalArgumentException if the value's type cannot be written
	 */
	public static String write(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("cannot write " + value.getClass().getSimpleName() + " as JSON", ex);
		}
	}

	/**
	 * Reads a value.
	 * @param <T> the type of the value
	 * @param text its JSON text
	 * @param type the type of the value
	 * @return the value
	 * @throws IOException if the text is not JSON, or not of this type
	 */
	public static <T> T read(String text, Class<T> type) throws IOException {
		T value = MAPPER.readValue(text, type);
		if (value == null) {
			throw new IOException("null is no " + type.getSimpleName());
		}
		return value;
	}

	/**
	 * Reads any JSON.
	 * @param text the JSON text
	 * @return the tree
	 * @throws IOException if the text is not JSON
	 */
	public static JsonNode tree(String text) throws IOException {
		return MAPPER.readTree(text);
	}

	/**
	 * Reads a JSON object.
	 * @param text the JSON text
	 * @return its fields
	 * @throws IOException if the text is not one JSON object, or nested too deeply
	 */
	public static Map<String, Object> fields(String text) throws IOException {
		Map<String, Object> fields = FIELDS.readValue(text);
		if (fields == null) {
			throw new IOException("null is no object");
		}
		return fields;
	}

	/**
	 * Turns a tree into a value.
	 * @param <T> the type of the value
	 * @param tree the tree
	 * @param type the type of the value
	 * @return the value
	 * @throws IOException if the tree does not fit the type
	 */
	public static <T> T convert(JsonNode tree, Class<T> type) throws IOException {
		return MAPPER.treeToValue(tree, type);
	}

}
