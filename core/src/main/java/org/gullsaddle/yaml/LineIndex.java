package org.gullsaddle.yaml;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.core.JsonToken;

/**
 * Maps each key and item of a YAML text to its line.
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
	 * Returns the line of a JSON pointer, or of its nearest ancestor in the text, or 0.
	 */
	int line(String pointer) {
		String ancestor = pointer;
		while (!ancestor.isEmpty()) {
			Integer line = this.lines.get(ancestor);
			if (line != null) {
				return line;
			}
			ancestor = ancestor.substring(0, ancestor.lastIndexOf('/'));
		}
		return 0;
	}

}
