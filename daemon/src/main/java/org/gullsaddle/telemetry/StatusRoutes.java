package org.gullsaddle.telemetry;

import java.util.function.BooleanSupplier;

import io.vertx.ext.web.Router;

/**
 * Serves a node's health, readiness and metrics.
 */
public final class StatusRoutes {

	private static final int NOT_READY = 503;

	private StatusRoutes() {
	}

	/**
	 * Adds {@code /health/live}, {@code /health/ready} and {@code /metrics}.
	 * @param router where to add them
	 * @param telemetry the metrics
	 * @param ready says whether the node is ready
	 */
	public static void add(Router router, Telemetry telemetry, BooleanSupplier ready) {
		router.get("/health/live").handler((context) -> context.response().end("live\n"));
		router.get("/health/ready").handler((context) -> {
			boolean isReady = ready.getAsBoolean();
			context.response().setStatusCode(isReady ? 200 : NOT_READY).end(isReady ? "ready\n" : "not ready\n");
		});
		router.get("/metrics").handler((context) -> MetricsResponse.send(context.response(), telemetry));
	}

}
