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

	/**
	 * How long the rest of a request that is not passed on may take, in milliseconds:
	 * some megabytes on a caller's link.
	 */
	private static final long REST_MILLIS = 500;

	private final Gateway gateway;

	private final HttpServerRequest request;

	private final long startedAt = Clock.millis();

	private final Buffer body = Buffer.buffer();

	private boolean over;

	private Runnable rejection;

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
			this.request.handler((bytes) -> {
			});
			this.request.endHandler((nothing) -> rejected());
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
				this.gateway.serve(this.request, caller, this.body, this.startedAt);
			}
			rejected();
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
	 * Answers a request that is not passed on, and ends its connection.
	 * <p>
	 * What still comes of it is read first, for a moment: a connection that is closed
	 * with bytes unread is reset, and the reset can overtake the answer, so that the
	 * caller sees a broken connection and sends the same again.
	 */
	private void reject(int status, String reason) {
		this.over = true;
		this.rejection = () -> {
			CallerAnswerWriter writer = new CallerAnswerWriter(this.request.response(), () -> true);
			this.gateway.refused(writer, CallerRequest.unread(), status, Optional.empty(), reason);
		};
		this.gateway.after(REST_MILLIS, this::rejected);
	}

	private void rejected() {
		Runnable answer = this.rejection;
		this.rejection = null;
		if (answer != null) {
			answer.run();
		}
	}

}
