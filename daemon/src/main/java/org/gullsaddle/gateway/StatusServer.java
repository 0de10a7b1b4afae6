package org.gullsaddle.gateway;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerOptions;

import org.gullsaddle.base.Address;
import org.gullsaddle.telemetry.MetricsResponse;

/**
 * Serves the readiness check and the metrics.
 */
final class StatusServer {

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
			.requestHandler((request) -> MetricsResponse.send(request.response(), gateway.telemetry()))
			.listen(metrics.port(), metrics.host())
			.mapEmpty());
	}

}
