package org.gullsaddle.daemon;

import java.io.IOException;
import java.nio.file.Path;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.github.rvesse.airline.parser.errors.ParseException;

import org.gullsaddle.settings.Settings;
import org.gullsaddle.yaml.YamlException;

/**
 * The daemon's command line.
 */
@Command(name = "gullsaddled", description = "Runs one node of gullsaddle, an entry or an agent, as its settings say")
public final class Gullsaddled {

	private static final int WRONG_USE = 2;

	@AirlineModule
	private HelpOption<Gullsaddled> help;

	@Option(name = "--settings", title = "file", description = "The node's settings, in YAML")
	@Required
	private String settings;

	@Option(name = "--check", description = "Check the settings and exit")
	private boolean check;

	/**
	 * Runs the daemon until it is told to stop. It stops gracefully on SIGTERM.
	 * @param args the arguments
	 */
	public static void main(String[] args) {
		try {
			Gullsaddled command = SingleCommand.singleCommand(Gullsaddled.class).parse(args);
			if (!command.help.showHelpIfRequested()) {
				command.run();
			}
		}
		catch (ParseException ex) {
			fail(WRONG_USE, ex.getMessage());
		}
		catch (YamlException ex) {
			fail(WRONG_USE, "the settings are not as expected:\n" + ex.getMessage());
		}
		catch (IOException ex) {
			fail(1, "cannot start: " + ex.getMessage());
		}
	}

	private void run() throws IOException, YamlException {
		Settings read = Settings.load(Path.of(this.settings));
		if (this.check) {
			System.out.println("the settings of " + read.role() + " " + read.node() + " are as expected");
			return;
		}
		Daemon daemon = Daemon.of(read).start();
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			boolean whole = daemon.drain();
			// Otherwise the exit code would tell of the signal, as if the stop had been
			// cut off.
			Runtime.getRuntime().halt(whole ? 0 : 1);
		}, "stop"));
	}

	private static void fail(int code, String message) {
		System.err.println("gullsaddled: " + message);
		System.exit(code);
	}

}
