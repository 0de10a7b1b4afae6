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
	private static final int MAX_HELD = 262_144;

	private final ServerSentEventSplitter events = new ServerSentEventSplitter();

	private final AnswerSink outlet;

	private final CallerAnswerWriter writer;

	private Buffer held = Buffer.buffer();

	private MultiMap headers;

	private long toldMillis = -1;

	/**
	 * Makes a relay.
	 * @param giveUp ends the request, as its caller reads too slowly
	 */
	AnswerRelay(ServedRequest request, Gateway gateway, Runnable giveUp) {
		this.outlet = gateway.holdings().outlet(request, giveUp);
		this.writer = new CallerAnswerWriter(request.http().response(), this.outlet, gateway::stopping);
	}

	/**
	 * Says whether the caller has got any of an answer.
	 */
	boolean begun() {
		return this.writer.begun();
	}

	/**
	 * Returns the last event that the caller has.
	 */
	Optional<String> lastEvent() {
		return this.events.lastId();
	}

	/**
	 * Says whether a stream has come to the end of an event.
	 */
	boolean atEventEnd() {
		return this.events.atEventEnd();
	}

	/**
	 * Begins with a replica's answer; what was held of an earlier one is dropped.
	 */
	void head(MultiMap newHeaders) {
		this.held = Buffer.buffer();
		this.events.dropRest();
		this.headers = newHeaders;
	}

	/**
	 * Passes a stream's bytes on, as far as they make whole events.
	 * @return whether the caller got an event
	 */
	boolean stream(Attempt from, Buffer bytes) {
		Buffer whole = this.events.add(bytes);
		if (whole.length() > 0) {
			this.writer.begin(from.answer().status(), this.headers);
			this.writer.write(whole);
		}
		this.outlet.read(from, this.events.heldBack());
		return whole.length() > 0;
	}

	/**
	 * Holds bytes back, or passes them on if they are too many to hold.
	 */
	void hold(Attempt from, Buffer bytes) {
		this.held.appendBuffer(bytes);
		if (this.held.length() > MAX_HELD) {
			this.writer.begin(from.answer().status(), this.headers);
			this.writer.write(this.held);
			this.held = Buffer.buffer();
		}
		this.outlet.read(from, this.held.length());
	}

	/**
	 * Ends the answer, which is whole.
	 * @param withoutBody whether the caller asked for the head only
	 */
	void end(int status, boolean withoutBody) {
		if (this.writer.begun()) {
			this.writer.end(this.held);
			return;
		}
		if (!withoutBody) {
			this.headers.remove(HttpHeaders.CONTENT_LENGTH);
		}
		this.writer.whole(status, this.headers, this.held);
	}

	/**
	 * Sends an answer of the router's own instead.
	 * @param afterMillis when to come back, in milliseconds, if the request was not run
	 */
	void error(int status, Optional<Long> afterMillis, String reason) {
		this.toldMillis = afterMillis.orElse(-1L);
		this.writer.error(status, afterMillis, reason);
	}

	/**
	 * Returns when the caller was told to come back, in milliseconds, negative if it was
	 * not.
	 */
	long toldMillis() {
		return this.toldMillis;
	}

	/**
	 * Breaks the answer off, so that the caller sees it is not whole.
	 */
	void abort() {
		this.writer.abort();
	}

}
