package org.gullsaddle.standin;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

/**
 * Starts the platform's services.
 */
@Command(name = "platform", description = "The platform: store, VM list, rating service and weight store")
public final class PlatformCommand implements Runnable {

	@Option(name = "--port", description = "The port to listen on, on the loopback address")
	private int port = 7000;

	@Option(name = "--writes", description = "Writes a second that the store takes")
	private int writes = 300;

	@Option(name = "--reads", description = "Reads a second that the store takes")
	private int reads = 2000;

	@Override
	public void run() {
		Platform.start(Standin.vertx(), this.port, this.writes, this.reads)
			.onSuccess((server) -> Standin.listening("platform", server.actualPort()))
			.onFailure((failure) -> {
				System.err.println("standin platform: " + failure.getMessage());
				System.exit(1);
			});
	}

}
