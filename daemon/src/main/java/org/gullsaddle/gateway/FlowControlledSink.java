package org.gullsaddle.gateway;

import java.util.ArrayDeque;
import java.util.Deque;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerResponse;

import org.gullsaddle.hold.BufferAccount;

/**
 * Writes an answer as fast as its caller reads and pauses the replica meanwhile. Replicas
 * abort answers that stay unread for long, so reading resumes after a while, as far as
 * the buffer budget allows.
 */
final class FlowControlledSink implements AnswerSink, BufferManager.Transfer {

	/** How long a replica stays paused before it is read ahead, in milliseconds. */
	private static final long MAX_PAUSE_MILLIS = 1000;

	/** Size of the connection's own write queue, in bytes. */
	private static final int CONNECTION_QUEUE_BYTES = 32_768;

	private static final int SLICE_BYTES = 16_384;

	private final HttpServerResponse response;

	private final BufferManager buffers;

	private final Runnable onAbort;

	private final BufferAccount bufferAccount;

	private final Deque<Buffer> queued = new ArrayDeque<>();

	private long queuedBytes;

	/** Bytes that do not yet form a complete event or answer. */
	private int incompleteBytes;

	private Attempt source;

	private boolean paused;

	private long pausedAt;

	private boolean readingAhead;

	private boolean ended;

	/** Whether the answer was aborted: nothing may make it look complete. */
	private boolean discarded;

	FlowControlledSink(ServedRequest request, BufferManager buffers, Runnable abortHandler) {
		this.response = request.http().response();
		this.buffers = buffers;
		this.onAbort = abortHandler;
		long maxPauseMillis = Math.max(MAX_PAUSE_MILLIS,
				Math.max(request.route().gapMillis(), request.route().targetMillis()));
		this.bufferAccount = buffers.open(request.id(), maxPauseMillis, this);
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
	 * Writes as much as the connection accepts.
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
		this.bufferAccount.recordTransferred(sent, MonotonicClock.millis());
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
	public void onRead(Attempt attempt, int newIncompleteBytes) {
		if (this.source != attempt) {
			this.source = attempt;
			this.paused = false;
		}
		this.incompleteBytes = newIncompleteBytes;
		updateHolder();
		boolean full = !this.queued.isEmpty() && !this.readingAhead;
		if ((full || !this.bufferAccount.canRead()) && !this.paused) {
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
		this.bufferAccount.recordBuffered(this.queuedBytes + this.incompleteBytes, !this.queued.isEmpty(),
				MonotonicClock.millis());
	}

	@Override
	public void check(long now) {
		if (this.response.ended() || this.response.closed()) {
			discard();
			this.buffers.close(this.bufferAccount);
		}
		else if (this.paused && this.bufferAccount.canRead()) {
			resumeIfDue(now);
		}
	}

	/**
	 * Resumes a paused replica: at once if the caller has read everything and only memory
	 * was short, else after {@link #MAX_PAUSE_MILLIS}.
	 */
	private void resumeIfDue(long now) {
		if (this.queued.isEmpty()) {
			resume();
		}
		else if (now - this.pausedAt >= MAX_PAUSE_MILLIS) {
			if (!this.readingAhead) {
				this.buffers.recordReadAhead(this.bufferAccount, now - this.pausedAt);
			}
			this.readingAhead = true;
			resume();
		}
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
