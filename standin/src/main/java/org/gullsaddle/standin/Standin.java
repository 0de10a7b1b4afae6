package org.gullsaddle.standin;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import io.vertx.core.Vertx;

/**
 * Starts one stand-in in the foreground.
 */
@Cli(name = "standin", description = "Stand-ins for the platform, a model engine and a plain service",
		defaultCommand = Help.class, commands = { PlatformCommand.class, EngineCommand.class, ServiceCommand.class,
				DemoCommand.class, LoadCommand.class, Help.class })
public final class Standin {

	private Standin() {
	}

	/**
	 * Runs the command line.
	 * @param args the arguments
	 */
	public static void main(String[] args) {
		try {
			new com.github.rvesse.airline.Cli<Runnable>(Standin.class).parse(args).run();
		}
		catch (ParseException ex) {
			System.err.println("standin: " + ex.getMessage());
			System.exit(2);
		}
	}

	static Vertx vertx() {
		return Vertx.vertx();
	}

	static void listening(String what, int port) {
		System.out.println("{\"standin\":\"" + what + "\",\"port\":" + port + "}");
	}

}
