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

	/** Metrics pages that are sent at the same time: each holds a part of its text. */
	private static final int MAX_PAGES = 8;

	private final Gateway gateway;

	/** Metrics pages that are being sent. */
	private int pages;

	private StatusServer(Gateway gateway) {
		this.gateway = gateway;
	}

	static Future<Void> listen(Vertx vertx, Gateway gateway) {
		return new StatusServer(gateway).listen(vertx);
	}

	private Future<Void> listen(Vertx vertx) {
		Address ready = this.gateway.settings().readinessAddress();
		Future<Void> listening = server(vertx).requestHandler(this::sendReadiness)
			.listen(ready.port(), ready.host())
			.mapEmpty();
		Address metrics = this.gateway.settings().metricsAddress();
		if (metrics.port() == 0) {
			return listening;
		}
		return listening.compose((nothing) -> server(vertx).requestHandler(this::sendMetrics)
			.listen(metrics.port(), metrics.host())
			.mapEmpty());
	}

	private HttpServer server(Vertx vertx) {
		return vertx.createHttpServer(OPTIONS).connectionHandler(this.gateway.inbound()::onOpened);
	}

	private void sendReadiness(HttpServerRequest request) {
		response(request).setStatusCode(this.gateway.isReady() ? HttpStatuses.OK : HttpStatuses.SERVICE_UNAVAILABLE)
			.end();
	}

	private void sendMetrics(HttpServerRequest request) {
		HttpServerResponse response = response(request);
		if (this.pages >= MAX_PAGES) {
			this.gateway.telemetry().count("metrics.pages.refused");
			response.setStatusCode(HttpStatuses.SERVICE_UNAVAILABLE).end();
			return;
		}
		this.pages++;
		response.endHandler((nothing) -> this.pages--);
		MetricsResponse.send(response, this.gateway.telemetry());
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
