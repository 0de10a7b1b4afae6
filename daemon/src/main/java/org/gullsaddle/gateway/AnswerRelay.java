package org.gullsaddle.gateway;

import java.util.Optional;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;

/**
 * Relays replicas' answers to one caller: complete events of a stream as they arrive, any
 * other answer once it is complete, so that it can still be replaced by another replica's
 * answer until then.
 */
final class AnswerRelay {

	/**
	 * Largest answer, in bytes, that is buffered until it is complete, and largest answer
	 * of a replica that failed.
	 */
	private static final int MAX_BUFFERED_BYTES = 262_144;

	/** Largest event of a stream, in bytes. */
	private static final int MAX_EVENT_BYTES = 262_144;

	private final ServerSentEventSplitter events = new ServerSentEventSplitter();

	private final AnswerSink sink;

	private final CallerAnswerWriter writer;

	private Buffer buffered = Buffer.buffer();

	private MultiMap headers;

	private long retryAfterMillis = -1;

	/**
	 * Creates a relay.
	 * @param onAbort ends the request if its caller reads too slowly
	 */
	AnswerRelay(ServedRequest request, Gateway gateway, Runnable onAbort) {
		this.sink = gateway.buffers().newSink(request, onAbort);
		this.writer = new CallerAnswerWriter(request.http().response(), this.sink, gateway::isStopping);
	}

	/**
	 * Returns whether any part of an answer was written to the caller.
	 */
	boolean hasBegun() {
		return this.writer.hasBegun();
	}

	/**
	 * Returns the id of the last event that was relayed.
	 */
	Optional<String> lastEventId() {
		return this.events.lastEventId();
	}

	/**
	 * Returns whether all bytes of the stream so far form complete events.
	 */
	boolean isAtEventEnd() {
		return this.events.isAtEventEnd();
	}

	/**
	 * Starts a replica's answer and discards what was buffered of an earlier one.
	 */
	void onHead(MultiMap newHeaders) {
		this.buffered = Buffer.buffer();
		this.events.discardIncomplete();
		this.headers = newHeaders;
	}

	/**
	 * Relays bytes of a stream as far as they form complete events.
	 * @return whether at least one event was written
	 */
	boolean relayEvents(Attempt from, Buffer bytes) {
		Buffer complete = this.events.add(bytes);
		if (complete.length() > 0) {
			this.writer.begin(from.answer().status(), this.headers);
			this.writer.write(complete);
		}
		this.sink.onRead(from, this.events.incompleteBytes());
		return complete.length() > 0;
	}

	/**
	 * Returns whether the partial event, or what is buffered of a failure, is larger than
	 * any of a replica, so that it may have no end.
	 */
	boolean isTooLarge() {
		return this.events.incompleteBytes() > MAX_EVENT_BYTES || this.buffered.length() > MAX_BUFFERED_BYTES;
	}

	/**
	 * Buffers bytes. Those of a large answer are relayed, unless its replica failed:
	 * another replica's answer is worth more than the rest of a failure.
	 */
	void buffer(Attempt from, Buffer bytes) {
		this.buffered.appendBuffer(bytes);
		if (this.buffered.length() > MAX_BUFFERED_BYTES && !from.hasFailed()) {
			this.writer.begin(from.answer().status(), this.headers);
			this.writer.write(this.buffered);
			this.buffered = Buffer.buffer();
		}
		this.sink.onRead(from, this.buffered.length());
	}

	/**
	 * Ends a complete answer.
	 * @param withoutBody whether it is the answer to a HEAD request
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
	 * Sends an error of the gateway itself instead.
	 * @param retryAfter when the caller may retry, in milliseconds, if the request was
	 * not run
	 */
	void sendError(int status, Optional<Long> retryAfter, String reason) {
		this.retryAfterMillis = retryAfter.orElse(-1L);
		this.writer.writeError(status, retryAfter, reason);
	}

	/**
	 * Returns the retry delay that was sent to the caller, in milliseconds, negative if
	 * none was.
	 */
	long retryAfterMillis() {
		return this.retryAfterMillis;
	}

	/**
	 * Aborts the answer so that the caller sees that it is incomplete.
	 */
	void abort() {
		this.writer.abort();
	}

}
