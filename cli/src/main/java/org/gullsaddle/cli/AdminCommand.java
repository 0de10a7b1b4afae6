package org.gullsaddle.cli;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import io.vertx.core.json.JsonObject;

/**
 * What all commands that call an entry share.
 */
abstract class AdminCommand implements Callable<Integer> {

	private static final String ADMIN_VARIABLE = "GULLSADDLE_ADMIN";

	private static final String KEY_VARIABLE = "GULLSADDLE_KEY";

	@AirlineModule
	private HelpOption<AdminCommand> help;

	@Option(name = "--admin", title = "url",
			description = "The admin address of any entry; GULLSADDLE_ADMIN if not given")
	private String admin = System.getenv(ADMIN_VARIABLE);

	@Option(name = "--key-file", title = "file",
			description = "A file with the operator's key; the key is taken from GULLSADDLE_KEY if not given")
	private String keyFile;

	@Option(name = "--output", title = "form", description = "How to print: text or json")
	@AllowedRawValues(allowedValues = { "text", "json" })
	private String output = "text";

	@Override
	public final Integer call() throws CommandException {
		if (this.help != null && this.help.showHelpIfRequested()) {
			return ExitCode.DONE.code();
		}
		if (this.admin == null) {
			throw new CommandException(ExitCode.WRONG_USE,
					"give the admin address of an entry by --admin or " + ADMIN_VARIABLE);
		}
		try (AdminClient client = new AdminClient(URI.create(this.admin), key())) {
			return run(client).code();
		}
		catch (IllegalArgumentException ex) {
			throw new CommandException(ExitCode.WRONG_USE, ex.getMessage());
		}
	}

	/**
	 * Does what the command is for.
	 */
	abstract ExitCode run(AdminClient client) throws CommandException;

	/**
	 * Prints an answer as JSON, or by lines for people.
	 */
	void print(JsonObject answer, String text) {
		System.out.println(json() ? answer.encode() : text);
	}

	boolean json() {
		return this.output.equals("json");
	}

	static String read(String file) throws CommandException {
		try {
			return Files.readString(Path.of(file));
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.WRONG_USE, "cannot read " + file + ": " + ex.getMessage());
		}
	}

	private String key() throws CommandException {
		if (this.keyFile != null) {
			return read(this.keyFile).strip();
		}
		String key = System.getenv(KEY_VARIABLE);
		if (key == null) {
			throw new CommandException(ExitCode.WRONG_USE, "give the operator's key by --key-file or " + KEY_VARIABLE);
		}
		return key;
	}

}
