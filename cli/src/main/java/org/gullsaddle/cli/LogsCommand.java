package org.gullsaddle.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.json.JsonObject;

/**
 * Finds the lines of one request in the logs of several nodes and shows them in their
 * order.
 */
@Command(name = "logs", description = "Show what the nodes' logs say of a request")
public final class LogsCommand implements Callable<ExitCode> {

	private static final List<String> COMMON = List.of("@timestamp", "@version", "logger_name", "thread_name", "level",
			"level_value", "message", "id");

	@Arguments(title = { "id", "file" }, description = "The request's id, then the nodes' log files")
	@Required
	private List<String> words = new ArrayList<>();

	@Override
	public ExitCode call() throws CommandException {
		if (this.words.size() < 2) {
			throw new CommandException(ExitCode.WRONG_USE, "logs needs a request's id and one log file or more");
		}
		List<Line> lines = new ArrayList<>();
		for (String file : this.words.subList(1, this.words.size())) {
			read(Path.of(file), lines);
		}
		if (lines.isEmpty()) {
			throw new CommandException(ExitCode.NOT_FOUND, "no line of " + this.words.get(0) + " in these files");
		}
		lines.sort(Comparator.comparing(Line::time));
		lines.forEach((line) -> System.out.println(line.text()));
		return ExitCode.DONE;
	}

	private void read(Path file, List<Line> lines) throws CommandException {
		String id = this.words.get(0);
		new LogFile(file).read(id, (line) -> {
			if (id.equals(line.getString("id"))) {
				lines.add(new Line(line.getString("@timestamp", ""), describe(file, line)));
			}
		});
	}

	private static String describe(Path file, JsonObject line) {
		StringBuilder text = new StringBuilder();
		text.append(line.getString("@timestamp", "")).append(' ').append(file.getFileName());
		text.append(' ').append(line.getString("message", ""));
		for (String field : line.fieldNames()) {
			if (!COMMON.contains(field) && !String.valueOf(line.getValue(field)).isEmpty()) {
				text.append(' ').append(field).append('=').append(line.getValue(field));
			}
		}
		return text.toString();
	}

	private record Line(String time, String text) {
	}

}
