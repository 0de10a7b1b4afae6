package org.gullsaddle.gateway;

import java.util.ArrayDeque;
import java.util.Deque;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerResponse;

import org.gullsaddle.hold.Holder;

/**
 * Passes an answer on as fast as its caller reads, and pauses its replica meanwhile. A
 * replica cuts off an answer that stays unread for long; so it is read on after a while,
 * as far as the memory for that lasts.
 */
final class FlowControlledSink implements AnswerSink, BufferManager.Transfer {

	/** After how long a paused replica is read on, in milliseconds. */
	private static final long MAX_PAUSE_MILLIS = 1000;

	/** What the connection itself may hold, in bytes. */
	private static final int CONNECTION_QUEUE_BYTES = 32_768;

	private static final int SLICE_BYTES = 16_384;

	private final HttpServerResponse response;

	private final BufferManager buffers;

	private final Runnable onAbort;

	private final Holder holder;

	private final Deque<Buffer> queued = new ArrayDeque<>();

	private long queuedBytes;

	/** What is held back since it makes no event or answer yet, in bytes. */
	private int incompleteBytes;

	private Attempt source;

	private boolean paused;

	private long pausedAt;

	private boolean readingAhead;

	private boolean ended;

	/** Whether the answer was broken off: nothing may make it look whole. */
	private boolean discarded;

	FlowControlledSink(ServedRequest request, BufferManager holdings, Runnable giveUp) {
		this.response = request.http().response();
		this.buffers = holdings;
		this.onAbort = giveUp;
		long pace = Math.max(MAX_PAUSE_MILLIS, Math.max(request.route().gapMillis(), request.route().targetMillis()));
		this.holder = holdings.open(request.id(), pace, this);
		this.response.setWriteQueueMaxSize(CONNECTION_QUEUE_BYTES);
		this.response.drainHandler((nothing) -> pump());
	}

	@Override
	public void write(Buffer bytes) {
		if (this.discarded) {
			return;
		}
		if (this.queued.isEmpty() && bytes.length() <= SLICE_BYTES && !this.response.writeQueueFull()) {
			this.response.write(bytes);
			return;
		}
		for (int at = 0; at < bytes.length(); at += SLICE_BYTES) {
			this.queued.add(bytes.slice(at, Math.min(bytes.length(), at + SLICE_BYTES)));
		}
		this.queuedBytes += bytes.length();
		pump();
	}

	@Override
	public void end(Buffer rest) {
		this.ended = true;
		this.incompleteBytes = 0;
		if (this.queued.isEmpty() && rest.length() <= SLICE_BYTES) {
			this.response.end(rest);
			return;
		}
		if (!this.response.isChunked()) {
			this.response.putHeader(HttpHeaders.CONTENT_LENGTH, Integer.toString(rest.length()));
		}
		write(rest);
	}

	/**
	 * Sends what the connection takes.
	 */
	private void pump() {
		if (this.discarded || this.response.ended()) {
			return;
		}
		long sent = 0;
		while (!this.queued.isEmpty() && !this.response.closed() && !this.response.writeQueueFull()) {
			Buffer next = this.queued.remove();
			sent += next.length();
			this.response.write(next);
		}
		this.queuedBytes -= sent;
		this.holder.moved(sent, MonotonicClock.millis());
		updateHolder();
		if (!this.queued.isEmpty()) {
			return;
		}
		this.readingAhead = false;
		if (this.ended) {
			this.response.end();
		}
		else {
			resume();
		}
	}

	@Override
	public void discard() {
		this.discarded = true;
		this.queued.clear();
		this.queuedBytes = 0;
		this.incompleteBytes = 0;
		updateHolder();
	}

	@Override
	public void onRead(Attempt attempt, int keptBytes) {
		if (this.source != attempt) {
			this.source = attempt;
			this.paused = false;
		}
		this.incompleteBytes = keptBytes;
		updateHolder();
		boolean full = !this.queued.isEmpty() && !this.readingAhead;
		if ((full || !this.holder.mayRead()) && !this.paused) {
			this.paused = true;
			this.pausedAt = MonotonicClock.millis();
			this.source.pause(Attempt.PauseReason.SLOW_CALLER);
		}
	}

	private void resume() {
		if (this.paused) {
			this.paused = false;
			this.source.resume(Attempt.PauseReason.SLOW_CALLER);
		}
	}

	private void updateHolder() {
		this.holder.holds(this.queuedBytes + this.incompleteBytes, !this.queued.isEmpty(), MonotonicClock.millis());
	}

	@Override
	public void check(long now) {
		if (this.response.ended() || this.response.closed()) {
			discard();
			this.buffers.close(this.holder);
		}
		else if (this.paused && this.holder.mayRead()) {
			resumeIfDue(now);
		}
	}

	/**
	 * Reads a paused replica on: at once if its caller took all and only memory was
	 * short.
	 */
	private void resumeIfDue(long now) {
		if (this.queued.isEmpty()) {
			resume();
		}
		else if (now - this.pausedAt >= MAX_PAUSE_MILLIS) {
			if (!this.readingAhead) {
				this.buffers.recordReadAhead(this.holder, now - this.pausedAt);
			}
			this.readingAhead = true;
			resume();
		}
	}

	/**
	 * Says whether an answer is whole here, and its caller has yet to read it.
	 */
	boolean isSending() {
		return this.ended && !this.queued.isEmpty();
	}

	@Override
	public boolean isPaused() {
		return this.paused && !this.source.hasEnded();
	}

	@Override
	public String kind() {
		return "answer";
	}

	@Override
	public void abort() {
		this.onAbort.run();
		discard();
		if (!this.response.closed()) {
			this.response.reset();
		}
	}

}
