package org.gullsaddle.standin;

import java.io.IOException;
import java.nio.file.Path;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import com.github.rvesse.airline.annotations.restrictions.Required;

/**
 * Plays the callers of the demonstration, and checks what they got.
 */
@Command(name = "demo", description = "Send the demonstration's requests, or check what came of them")
public final class DemoCommand implements Runnable {

	@Option(name = "--phase", description = "mixed, withdrawn or check")
	@AllowedRawValues(allowedValues = { "mixed", "withdrawn", "check" })
	@Required
	private String phase;

	@Option(name = "--port", description = "The first port of the cluster")
	private int port = 17_000;

	@Option(name = "--results", description = "The file that keeps results between the phases")
	@Required
	private String results;

	@Override
	public void run() {
		try (Demo demo = new Demo(this.port, Path.of(this.results))) {
			boolean right = switch (this.phase) {
				case "mixed" -> demo.mixed();
				case "withdrawn" -> demo.withdrawn();
				default -> demo.check();
			};
			System.exit(right ? 0 : 1);
		}
		catch (IOException ex) {
			System.err.println("demo: " + ex.getMessage());
			System.exit(1);
		}
	}

}
