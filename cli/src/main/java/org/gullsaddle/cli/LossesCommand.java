package org.gullsaddle.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

/**
 * Sums up from the logs of several nodes what their requests lost: by route and cause,
 * and in which seconds.
 */
@Command(name = "losses", description = "Sum up from the nodes' logs what was not served, late or doubted")
public final class LossesCommand implements Callable<ExitCode> {

	@Arguments(title = "file", description = "The nodes' log files")
	@Required
	private List<String> files = new ArrayList<>();

	@Override
	public ExitCode call() throws CommandException {
		LossTable table = new LossTable();
		for (String file : this.files) {
			read(Path.of(file), table);
		}
		if (table.requests() == 0) {
			throw new CommandException(ExitCode.NOT_FOUND, "no request in these files");
		}
		table.lines().forEach(System.out::println);
		return ExitCode.DONE;
	}

	private static void read(Path file, LossTable table) throws CommandException {
		try (Stream<String> all = Files.lines(file)) {
			all.forEach((text) -> parse(file, text, table));
		}
		catch (IOException | UncheckedIOException ex) {
			throw new CommandException(ExitCode.FAILED, "cannot read " + file + ": " + ex.getMessage());
		}
	}

	private static void parse(Path file, String text, LossTable table) {
		int start = text.indexOf('{');
		if (start < 0) {
			return;
		}
		try {
			table.add(new JsonObject(text.substring(start)));
		}
		catch (DecodeException ex) {
			System.err.println("gullsaddle: skipped a line of " + file + " that is not JSON");
		}
	}

}
