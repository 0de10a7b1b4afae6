package org.gullsaddle.gateway;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;

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
		Future<Void> listening = server(vertx, gateway)
			.requestHandler((request) -> response(request)
				.setStatusCode(gateway.isReady() ? HttpStatuses.OK : HttpStatuses.SERVICE_UNAVAILABLE)
				.end())
			.listen(ready.port(), ready.host())
			.mapEmpty();
		Address metrics = gateway.settings().metricsAddress();
		if (metrics.port() == 0) {
			return listening;
		}
		return listening.compose((nothing) -> server(vertx, gateway)
			.requestHandler((request) -> MetricsResponse.send(response(request), gateway.telemetry()))
			.listen(metrics.port(), metrics.host())
			.mapEmpty());
	}

	private static HttpServer server(Vertx vertx, Gateway gateway) {
		return vertx.createHttpServer(OPTIONS).connectionHandler(gateway.inbound()::onOpened);
	}

	/**
	 * Returns the response to a request whose body, if it has one, is not read.
	 */
	private static HttpServerResponse response(HttpServerRequest request) {
		if (!request.isEnded()) {
			request.response().putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
		}
		return request.response();
	}

}
