package org.gullsaddle.gateway;

import java.io.IOException;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;

import org.gullsaddle.base.Address;

/**
 * Serves the readiness check and the metrics.
 */
final class StatusServer {

	private static final int INTERNAL_SERVER_ERROR = 500;

	/** Without this, HTTP/2 classes would be loaded with the first request. */
	private static final HttpServerOptions OPTIONS = new HttpServerOptions().setHttp2ClearTextEnabled(false);

	private StatusServer() {
	}

	static Future<Void> listen(Vertx vertx, Gateway gateway) {
		Address ready = gateway.settings().readinessAddress();
		Future<Void> listening = vertx.createHttpServer(OPTIONS)
			.requestHandler((request) -> request.response()
				.setStatusCode(gateway.isReady() ? HttpStatuses.OK : HttpStatuses.SERVICE_UNAVAILABLE)
				.end())
			.listen(ready.port(), ready.host())
			.mapEmpty();
		Address metrics = gateway.settings().metricsAddress();
		if (metrics.port() == 0) {
			return listening;
		}
		return listening.compose((nothing) -> vertx.createHttpServer(OPTIONS)
			.requestHandler((request) -> serveMetrics(request, gateway))
			.listen(metrics.port(), metrics.host())
			.mapEmpty());
	}

	private static void serveMetrics(HttpServerRequest request, Gateway gateway) {
		try {
			request.response().putHeader("Content-Type", "text/plain; version=0.0.4").end(gateway.telemetry().scrape());
		}
		catch (IOException ex) {
			request.response().setStatusCode(INTERNAL_SERVER_ERROR).end(ex.getMessage());
		}
	}

}
