package org.gullsaddle.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;

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
			new LogFile(Path.of(file)).read("", table::add);
		}
		if (table.requests() == 0) {
			throw new CommandException(ExitCode.NOT_FOUND, "no request in these files");
		}
		table.lines().forEach(System.out::println);
		return ExitCode.DONE;
	}

}
