package org.gullsaddle.standin;

import java.util.List;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;

/**
 * Starts a model engine.
 */
@Command(name = "engine", description = "A model engine that serves chat completions")
public final class EngineCommand implements Runnable {

	@Option(name = "--port", description = "The port to listen on, on the loopback address")
	private int port = 9000;

	@Option(name = "--models", description = "The versions loaded, with commas between")
	private String models = "small@v1";

	@Option(name = "--skill", description = "How good its answers are, 0 to 1")
	private double skill = 0.9;

	@Option(name = "--token-millis", description = "The time between tokens")
	private int tokenMillis = 5;

	@Option(name = "--checks-fences", description = "Refuse orders with an old fencing number")
	private boolean checksFences;

	@Override
	public void run() {
		Engine
			.start(Standin.vertx(), this.port, List.of(this.models.split(",")), this.skill, this.tokenMillis,
					this.checksFences)
			.onSuccess((server) -> Standin.listening("engine", server.actualPort()))
			.onFailure((failure) -> {
				System.err.println("standin engine: " + failure.getMessage());
				System.exit(1);
			});
	}

}
