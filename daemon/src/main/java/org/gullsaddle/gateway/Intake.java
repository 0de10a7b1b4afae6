package org.gullsaddle.gateway;

import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

/**
 * Reads a caller's request to its end.
 */
final class Intake {

	/** What a body may have while no configuration is known, in bytes. */
	private static final long DEFAULT_BODY_BYTES = 4_194_304;

	private final Gateway gateway;

	private final HttpServerRequest request;

	private final long startedAt = Clock.millis();

	private final Buffer body = Buffer.buffer();

	private boolean over;

	Intake(Gateway gateway, HttpServerRequest request) {
		this.gateway = gateway;
		this.request = request;
	}

	void begin() {
		CallerRequest caller;
		try {
			caller = this.gateway.codec().read(this.request);
		}
		catch (BadRequestException ex) {
			reject(Statuses.BAD_REQUEST, ex.getMessage());
			return;
		}
		long limit = this.gateway.fleet()
			.config()
			.map((config) -> config.limits().bodyBytes())
			.orElse(DEFAULT_BODY_BYTES);
		this.request.handler((bytes) -> add(bytes, limit));
		this.request.exceptionHandler((failure) -> this.over = true);
		this.request.endHandler((nothing) -> {
			if (!this.over) {
				this.over = true;
				this.gateway.dispatcher().take(this.request, caller, this.body, this.startedAt);
			}
		});
	}

	private void add(Buffer bytes, long limit) {
		if (this.over) {
			return;
		}
		if (this.body.length() + bytes.length() > limit) {
			reject(Statuses.TOO_LARGE, "the body is larger than " + limit + " bytes");
			return;
		}
		this.body.appendBuffer(bytes);
	}

	/**
	 * Answers a request that is not read on, and ends its connection: what follows on it
	 * cannot be told apart from the rest of this one.
	 */
	private void reject(int status, String reason) {
		this.over = true;
		CallerAnswerWriter writer = new CallerAnswerWriter(this.request.response(), () -> true);
		this.gateway.dispatcher().refused(writer, CallerRequest.unread(), status, Optional.empty(), reason);
	}

}
