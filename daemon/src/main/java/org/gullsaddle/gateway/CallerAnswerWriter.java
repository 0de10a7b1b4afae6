package org.gullsaddle.gateway;

import java.util.Locale;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerResponse;

/**
 * Writes one answer to a caller.
 */
final class CallerAnswerWriter {

	private static final double MILLIS_PER_SECOND = 1000;

	private final HttpServerResponse response;

	private final AnswerSink sink;

	private final BooleanSupplier stopping;

	private boolean begun;

	CallerAnswerWriter(HttpServerResponse response, BooleanSupplier stopping) {
		this(response, new AnswerSink.Direct(response), stopping);
	}

	CallerAnswerWriter(HttpServerResponse response, AnswerSink outlet, BooleanSupplier stopping) {
		this.response = response;
		this.sink = outlet;
		this.stopping = stopping;
	}

	/**
	 * Returns whether any part of the answer was written.
	 */
	boolean hasBegun() {
		return this.begun;
	}

	/**
	 * Begins an answer of unknown length, unless it has begun.
	 */
	void begin(int status, MultiMap headers) {
		if (this.begun || this.response.closed()) {
			return;
		}
		this.begun = true;
		writeHead(status, headers);
		this.response.headers().remove(HttpHeaders.CONTENT_LENGTH);
		this.response.setChunked(true);
	}

	void write(Buffer bytes) {
		if (!this.response.closed()) {
			this.sink.write(bytes);
		}
	}

	void end(Buffer rest) {
		if (!this.response.closed()) {
			this.sink.end(rest);
		}
	}

	/**
	 * Writes a complete answer.
	 */
	void writeWhole(int status, MultiMap headers, Buffer body) {
		if (!this.response.closed()) {
			this.begun = true;
			writeHead(status, headers);
			this.sink.end(body);
		}
	}

	/**
	 * Writes an error of the gateway itself.
	 * @param retryAfter when the caller may retry, in milliseconds, if the request was
	 * not run
	 */
	void writeError(int status, Optional<Long> retryAfter, String reason) {
		if (this.response.closed()) {
			return;
		}
		this.begun = true;
		writeHead(status, MultiMap.caseInsensitiveMultiMap());
		retryAfter.ifPresent((millis) -> this.response.putHeader("Retry-After",
				String.format(Locale.ROOT, "%.2f", millis / MILLIS_PER_SECOND)));
		this.response.putHeader(HttpHeaders.CONTENT_TYPE, "application/json");
		this.response.end("{\"error\":\"" + reason.replace('"', '\'') + "\"}\n");
	}

	/**
	 * Aborts an answer that cannot be completed, so that the caller sees that it is
	 * incomplete.
	 */
	void abort() {
		this.sink.discard();
		if (!this.response.closed()) {
			this.response.reset();
		}
	}

	private void writeHead(int status, MultiMap headers) {
		this.response.setStatusCode(status);
		this.response.headers().addAll(headers);
		if (this.stopping.getAsBoolean()) {
			this.response.putHeader(HttpHeaders.CONNECTION, "close");
		}
	}

}
