package org.gullsaddle.standin;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

/**
 * Starts a plain service.
 */
@Command(name = "service", description = "A plain service that takes orders which must not be repeated")
public final class ServiceCommand implements Runnable {

	@Option(name = "--port", description = "The port to listen on, on the loopback address")
	private int port = 9500;

	@Override
	public void run() {
		PlainService.start(Standin.vertx(), this.port)
			.onSuccess((server) -> Standin.listening("service", server.actualPort()))
			.onFailure((failure) -> {
				System.err.println("standin service: " + failure.getMessage());
				System.exit(1);
			});
	}

}
