package org.gullsaddle.yaml;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.core.JsonToken;

/**
 * Knows the line of each key and item of a YAML text.
 */
final class LineIndex {

	private final Map<String, Integer> lines;

	private LineIndex(Map<String, Integer> lines) {
		this.lines = lines;
	}

	static LineIndex of(String yaml) throws IOException {
		Map<String, Integer> lines = new HashMap<>();
		try (JsonParser parser = YamlTree.parser(yaml)) {
			JsonToken token = parser.nextToken();
			while (token != null) {
				JsonPointer pointer = parser.getParsingContext().pathAsPointer();
				lines.putIfAbsent(pointer.toString(), parser.currentTokenLocation().getLineNr());
				token = parser.nextToken();
			}
		}
		return new LineIndex(lines);
	}

	/**
	 * Returns the line of a place, or of the nearest place around it that was written.
	 */
	int line(String pointer) {
		String place = pointer;
		while (!place.isEmpty()) {
			Integer line = this.lines.get(place);
			if (line != null) {
				return line;
			}
			place = place.substring(0, place.lastIndexOf('/'));
		}
		return 0;
	}

}
