package org.gullsaddle.gateway;

import java.util.ArrayDeque;
import java.util.Deque;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerResponse;

import org.gullsaddle.hold.BufferAccount;

/**
 * Writes an answer as fast as its caller reads. The replica is paused when the buffer
 * budget is short, and where the deployment asks for it as soon as the caller is slower
 * than the replica. Replicas abort answers that stay unread for long, so reading resumes
 * after a while, as far as the budget allows.
 */
final class FlowControlledSink implements AnswerSink, BufferManager.Transfer {

	/** How long a replica stays paused before it is read ahead, in milliseconds. */
	private static final long MAX_PAUSE_MILLIS = 1000;

	/** Size of the connection's own write queue, in bytes. */
	private static final int CONNECTION_QUEUE_BYTES = 32_768;

	private static final int SLICE_BYTES = 16_384;

	/**
	 * Writes to the connection in a millisecond after which further ones are gathered:
	 * each is a system call, and a replica may send an answer byte by byte.
	 */
	private static final int MAX_WRITES_PER_MILLI = 16;

	private final HttpServerResponse response;

	private final BufferManager buffers;

	private final Runnable onAbort;

	private final BufferAccount bufferAccount;

	private final Deque<Buffer> queued = new ArrayDeque<>();

	/** The last queued bytes, if more can be appended to them. */
	private Buffer tail;

	private long queuedBytes;

	private long lastWriteAt;

	private int writesInMilli;

	private boolean pumpScheduled;

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
		this.readingAhead = !buffers.pausesEarly();
	}

	@Override
	public void write(Buffer bytes) {
		if (this.discarded) {
			return;
		}
		boolean gather = isWritingOften();
		if (!gather && this.queued.isEmpty() && bytes.length() <= SLICE_BYTES && !this.response.writeQueueFull()) {
			this.response.write(bytes);
			return;
		}
		enqueue(bytes);
		if (gather && this.queuedBytes < SLICE_BYTES) {
			schedulePump();
		}
		else {
			pump();
		}
	}

	private boolean isWritingOften() {
		long now = MonotonicClock.millis();
		this.writesInMilli = (now == this.lastWriteAt) ? this.writesInMilli + 1 : 0;
		this.lastWriteAt = now;
		return this.writesInMilli >= MAX_WRITES_PER_MILLI;
	}

	private void enqueue(Buffer bytes) {
		this.queuedBytes += bytes.length();
		if (this.tail != null && this.tail.length() + bytes.length() <= SLICE_BYTES) {
			this.tail.appendBuffer(bytes);
			return;
		}
		if (bytes.length() < SLICE_BYTES) {
			this.tail = bytes.copy();
			this.queued.add(this.tail);
			return;
		}
		this.tail = null;
		for (int at = 0; at < bytes.length(); at += SLICE_BYTES) {
			this.queued.add(bytes.slice(at, Math.min(bytes.length(), at + SLICE_BYTES)));
		}
	}

	private void schedulePump() {
		if (!this.pumpScheduled) {
			this.pumpScheduled = true;
			Vertx.currentContext().runOnContext((nothing) -> {
				this.pumpScheduled = false;
				pump();
			});
		}
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
			this.tail = this.queued.isEmpty() ? null : this.tail;
			sent += next.length();
			this.response.write(next);
		}
		this.queuedBytes -= sent;
		this.bufferAccount.recordTransferred(sent, MonotonicClock.millis());
		updateHolder();
		if (!this.queued.isEmpty()) {
			return;
		}
		this.readingAhead = !this.buffers.pausesEarly();
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
		this.tail = null;
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
