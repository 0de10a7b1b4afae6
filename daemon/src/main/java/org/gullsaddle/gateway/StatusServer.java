package org.gullsaddle.gateway;

import java.io.IOException;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;

import org.gullsaddle.base.Address;

/**
 * Answers whether the node is ready, and shows its metrics.
 */
final class StatusServer {

	private static final int SERVER_ERROR = 500;

	private StatusServer() {
	}

	static Future<Void> listen(Vertx vertx, Gateway gateway) {
		Address ready = gateway.settings().ready();
		Future<Void> listening = vertx.createHttpServer()
			.requestHandler((request) -> request.response()
				.setStatusCode(gateway.ready() ? Statuses.OK : Statuses.UNAVAILABLE)
				.end())
			.listen(ready.port(), ready.host())
			.mapEmpty();
		Address metrics = gateway.settings().metrics();
		if (metrics.port() == 0) {
			return listening;
		}
		return listening.compose((nothing) -> vertx.createHttpServer()
			.requestHandler((request) -> metrics(request, gateway))
			.listen(metrics.port(), metrics.host())
			.mapEmpty());
	}

	private static void metrics(HttpServerRequest request, Gateway gateway) {
		try {
			request.response().putHeader("Content-Type", "text/plain; version=0.0.4").end(gateway.telemetry().scrape());
		}
		catch (IOException ex) {
			request.response().setStatusCode(SERVER_ERROR).end(ex.getMessage());
		}
	}

}
