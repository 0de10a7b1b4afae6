package org.gullsaddle.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;
import java.util.stream.Stream;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

/**
 * A node's log file, one JSON object a line.
 *
 * @param path where it is
 */
record LogFile(Path path) {

	/**
	 * Reads the lines that contain a text. A line may be cut at the file's end; what is
	 * not JSON is skipped with a message, what has no object at all without one.
	 */
	void read(String contained, Consumer<JsonObject> lines) throws CommandException {
		try (Stream<String> all = Files.lines(this.path)) {
			all.filter((text) -> text.contains(contained)).forEach((text) -> parse(text, lines));
		}
		catch (IOException | UncheckedIOException ex) {
			throw new CommandException(ExitCode.FAILED, "cannot read " + this.path + ": " + ex.getMessage());
		}
	}

	private void parse(String text, Consumer<JsonObject> lines) {
		int start = text.indexOf('{');
		if (start < 0) {
			return;
		}
		try {
			lines.accept(new JsonObject(text.substring(start)));
		}
		catch (DecodeException ex) {
			System.err.println("gullsaddle: skipped a line of " + this.path + " that is not JSON");
		}
	}

}
