package org.gullsaddle.gateway;

import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

import org.gullsaddle.hold.BufferAccount;

/**
 * Reads a caller's request with its whole body and passes it to the dispatcher.
 */
final class RequestBodyReader implements BufferManager.Transfer {

	/** Largest body while no configuration is known, in bytes. */
	private static final long DEFAULT_BODY_BYTES = 4_194_304;

	/** Time over which a caller's sending rate is measured, in milliseconds. */
	private static final long RATE_WINDOW_MILLIS = 1000;

	private final Gateway gateway;

	private final HttpServerRequest request;

	private final long startedAt = MonotonicClock.millis();

	private CallerRequest caller = CallerRequest.unreadable();

	private Buffer body = Buffer.buffer();

	private Optional<BufferAccount> bufferAccount = Optional.empty();

	private boolean paused;

	private boolean done;

	RequestBodyReader(Gateway gateway, HttpServerRequest request) {
		this.gateway = gateway;
		this.request = request;
	}

	void begin() {
		try {
			this.caller = this.gateway.codec().read(this.request);
		}
		catch (BadRequestException ex) {
			reject(HttpStatuses.BAD_REQUEST, Optional.empty(), ex.getMessage());
			return;
		}
		long limit = this.gateway.fleet()
			.config()
			.map((config) -> config.limits().bodyBytes())
			.orElse(DEFAULT_BODY_BYTES);
		this.request.handler((bytes) -> append(bytes, limit));
		this.request.exceptionHandler((failure) -> discard());
		this.request.endHandler((nothing) -> {
			if (!this.done) {
				this.done = true;
				this.bufferAccount
					.ifPresent((each) -> each.recordBuffered(this.body.length(), false, MonotonicClock.millis()));
				this.gateway.dispatcher().dispatch(this.request, this.caller, this.body, this.startedAt);
			}
		});
	}

	/**
	 * Drops what was read of a request that is not served.
	 */
	private void discard() {
		this.done = true;
		this.body = Buffer.buffer();
		this.bufferAccount.ifPresent(this.gateway.buffers()::close);
	}

	private void append(Buffer bytes, long limit) {
		if (this.done) {
			return;
		}
		if (this.body.length() + bytes.length() > limit) {
			reject(HttpStatuses.CONTENT_TOO_LARGE, Optional.empty(), "the body is larger than " + limit + " bytes");
			return;
		}
		this.body.appendBuffer(bytes);
		updateHolder(bytes.length(), this.caller.attemptId().orElse(""));
	}

	private void updateHolder(int bytes, String id) {
		if (this.bufferAccount.isEmpty()) {
			this.bufferAccount = Optional.of(this.gateway.buffers().open(id, RATE_WINDOW_MILLIS, this));
		}
		BufferAccount bodyAccount = this.bufferAccount.get();
		bodyAccount.recordBuffered(this.body.length(), true, MonotonicClock.millis());
		bodyAccount.recordTransferred(bytes, MonotonicClock.millis());
		if (this.gateway.buffers().isExhausted() && !bodyAccount.canRead()) {
			this.paused = true;
			this.request.pause();
		}
	}

	@Override
	public void check(long now) {
		if (this.request.response().ended() || this.request.response().closed()) {
			this.bufferAccount.ifPresent(this.gateway.buffers()::close);
		}
		if (this.paused && !this.gateway.buffers().isExhausted()) {
			resume();
		}
	}

	private void resume() {
		if (this.paused) {
			this.paused = false;
			this.request.resume();
		}
	}

	/**
	 * Returns false: this reads a caller's body, never a replica's answer.
	 */
	@Override
	public boolean isPaused() {
		return false;
	}

	/**
	 * Returns whether the caller has yet to send the rest.
	 */
	boolean isIncomplete() {
		return !this.done;
	}

	@Override
	public String kind() {
		return "body";
	}

	@Override
	public void abort() {
		reject(HttpStatuses.SERVICE_UNAVAILABLE, Optional.of(this.gateway.routingState().retryAfterMillis()),
				"sent too slowly");
		resume();
	}

	/**
	 * Refuses a request that has not run because the process ends, whatever it waits for.
	 */
	void refuseStopping() {
		this.done = true;
		this.gateway.dispatcher().refuseStopping(this.request, this.caller);
	}

	/**
	 * Refuses a request that has not run because reading it failed in this node.
	 */
	void refuseFailed() {
		if (!this.request.response().ended() && !this.request.response().closed()) {
			reject(HttpStatuses.SERVICE_UNAVAILABLE, Optional.of(this.gateway.routingState().retryAfterMillis()),
					RequestDispatcher.INTERNAL_ERROR);
		}
	}

	/**
	 * Answers a request that is not read to its end and closes its connection, since
	 * later requests on it could not be told apart from the unread body.
	 */
	private void reject(int status, Optional<Long> retryAfter, String reason) {
		discard();
		CallerAnswerWriter writer = new CallerAnswerWriter(this.request.response(), () -> true);
		this.gateway.dispatcher().sendRefusal(writer, this.caller, status, retryAfter, reason);
	}

}
