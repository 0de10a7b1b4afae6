package org.gullsaddle.telemetry;

import java.util.Iterator;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerResponse;

/**
 * Sends a page of metrics part by part: the event loop serves others between two parts,
 * and no more than one part waits for a client that reads slowly.
 */
public final class MetricsResponse {

	/**
	 * Pause between two parts, in milliseconds. Without one, the event loop would run all
	 * parts before it reads from any connection.
	 */
	private static final long PAUSE_MILLIS = 1;

	private final HttpServerResponse response;

	private final Iterator<String> parts;

	private final Vertx vertx = Vertx.currentContext().owner();

	private MetricsResponse(HttpServerResponse response, Iterator<String> parts) {
		this.response = response;
		this.parts = parts;
	}

	/**
	 * Sends a node's metrics. Called on an event loop.
	 * @param response the response, of which nothing was sent yet
	 * @param telemetry the metrics
	 */
	public static void send(HttpServerResponse response, Telemetry telemetry) {
		response.putHeader("Content-Type", "text/plain; version=0.0.4").setChunked(true);
		new MetricsResponse(response, telemetry.scrape()).sendNext();
	}

	private void sendNext() {
		if (this.response.closed()) {
			return;
		}
		if (!this.parts.hasNext()) {
			this.response.end();
			return;
		}
		String part = this.parts.next();
		if (!part.isEmpty()) {
			this.response.write(part);
		}
		if (this.response.writeQueueFull()) {
			this.response.drainHandler((nothing) -> sendNext());
		}
		else {
			this.vertx.setTimer(PAUSE_MILLIS, (timer) -> sendNext());
		}
	}

}
