package org.gullsaddle.yaml;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;

/**
 * Parses YAML text into a tree and rejects duplicate keys.
 */
final class YamlTree {

	private static final YAMLMapper MAPPER = YAMLMapper.builder()
		.enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.build();

	private YamlTree() {
	}

	static JsonNode read(String yaml) throws IOException {
		JsonNode root = MAPPER.readTree(yaml);
		return (root != null) ? root : MAPPER.createObjectNode();
	}

	static JsonParser parser(String yaml) throws IOException {
		return MAPPER.createParser(yaml);
	}

}
