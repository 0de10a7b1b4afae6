package org.gullsaddle.gateway;

import java.util.Optional;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;

/**
 * Passes answers on to one caller: a stream's whole events as they come, anything else
 * once it is whole, so that until then it can be dropped for another answer.
 */
final class AnswerRelay {

	/** An answer up to this size is held back until it is whole, in bytes. */
	private static final int MAX_BUFFERED_BYTES = 262_144;

	private final ServerSentEventSplitter events = new ServerSentEventSplitter();

	private final AnswerSink sink;

	private final CallerAnswerWriter writer;

	private Buffer buffered = Buffer.buffer();

	private MultiMap headers;

	private long retryAfterMillis = -1;

	/**
	 * Makes a relay.
	 * @param giveUp ends the request, as its caller reads too slowly
	 */
	AnswerRelay(ServedRequest request, Gateway gateway, Runnable giveUp) {
		this.sink = gateway.buffers().newSink(request, giveUp);
		this.writer = new CallerAnswerWriter(request.http().response(), this.sink, gateway::isStopping);
	}

	/**
	 * Says whether the caller has got any of an answer.
	 */
	boolean hasBegun() {
		return this.writer.hasBegun();
	}

	/**
	 * Returns the last event that the caller has.
	 */
	Optional<String> lastEventId() {
		return this.events.lastEventId();
	}

	/**
	 * Says whether a stream has come to the end of an event.
	 */
	boolean isAtEventEnd() {
		return this.events.isAtEventEnd();
	}

	/**
	 * Begins with a replica's answer; what was held of an earlier one is dropped.
	 */
	void onHead(MultiMap newHeaders) {
		this.buffered = Buffer.buffer();
		this.events.discardIncomplete();
		this.headers = newHeaders;
	}

	/**
	 * Passes a stream's bytes on, as far as they make whole events.
	 * @return whether the caller got an event
	 */
	boolean relayEvents(Attempt from, Buffer bytes) {
		Buffer whole = this.events.add(bytes);
		if (whole.length() > 0) {
			this.writer.begin(from.answer().status(), this.headers);
			this.writer.write(whole);
		}
		this.sink.onRead(from, this.events.incompleteBytes());
		return whole.length() > 0;
	}

	/**
	 * Holds bytes back, or passes them on if they are too many to hold.
	 */
	void buffer(Attempt from, Buffer bytes) {
		this.buffered.appendBuffer(bytes);
		if (this.buffered.length() > MAX_BUFFERED_BYTES) {
			this.writer.begin(from.answer().status(), this.headers);
			this.writer.write(this.buffered);
			this.buffered = Buffer.buffer();
		}
		this.sink.onRead(from, this.buffered.length());
	}

	/**
	 * Ends the answer, which is whole.
	 * @param withoutBody whether the caller asked for the head only
	 */
	void end(int status, boolean withoutBody) {
		if (this.writer.hasBegun()) {
			this.writer.end(this.buffered);
			return;
		}
		if (!withoutBody) {
			this.headers.remove(HttpHeaders.CONTENT_LENGTH);
		}
		this.writer.writeWhole(status, this.headers, this.buffered);
	}

	/**
	 * Sends an answer of the router's own instead.
	 * @param afterMillis when to come back, in milliseconds, if the request was not run
	 */
	void sendError(int status, Optional<Long> afterMillis, String reason) {
		this.retryAfterMillis = afterMillis.orElse(-1L);
		this.writer.writeError(status, afterMillis, reason);
	}

	/**
	 * Returns when the caller was told to come back, in milliseconds, negative if it was
	 * not.
	 */
	long retryAfterMillis() {
		return this.retryAfterMillis;
	}

	/**
	 * Breaks the answer off, so that the caller sees it is not whole.
	 */
	void abort() {
		this.writer.abort();
	}

}
