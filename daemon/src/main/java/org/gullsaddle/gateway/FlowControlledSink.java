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
	private static final long READ_ON_MILLIS = 1000;

	/** What the connection itself may hold, in bytes. */
	private static final int QUEUE_BYTES = 32_768;

	private static final int SLICE_BYTES = 16_384;

	private final HttpServerResponse response;

	private final BufferManager holdings;

	private final Runnable giveUp;

	private final Holder holder;

	private final Deque<Buffer> waiting = new ArrayDeque<>();

	private long waitingBytes;

	/** What is held back since it makes no event or answer yet, in bytes. */
	private int kept;

	private Attempt from;

	private boolean paused;

	private long pausedAt;

	private boolean readingOn;

	private boolean ended;

	/** Whether the answer was broken off: nothing may make it look whole. */
	private boolean dropped;

	FlowControlledSink(ServedRequest request, BufferManager holdings, Runnable giveUp) {
		this.response = request.http().response();
		this.holdings = holdings;
		this.giveUp = giveUp;
		long pace = Math.max(READ_ON_MILLIS, Math.max(request.route().gapMillis(), request.route().targetMillis()));
		this.holder = holdings.open(request.id(), pace, this);
		this.response.setWriteQueueMaxSize(QUEUE_BYTES);
		this.response.drainHandler((nothing) -> pump());
	}

	@Override
	public void write(Buffer bytes) {
		if (this.dropped) {
			return;
		}
		if (this.waiting.isEmpty() && bytes.length() <= SLICE_BYTES && !this.response.writeQueueFull()) {
			this.response.write(bytes);
			return;
		}
		for (int at = 0; at < bytes.length(); at += SLICE_BYTES) {
			this.waiting.add(bytes.slice(at, Math.min(bytes.length(), at + SLICE_BYTES)));
		}
		this.waitingBytes += bytes.length();
		pump();
	}

	@Override
	public void end(Buffer rest) {
		this.ended = true;
		this.kept = 0;
		if (this.waiting.isEmpty() && rest.length() <= SLICE_BYTES) {
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
		if (this.dropped || this.response.ended()) {
			return;
		}
		long sent = 0;
		while (!this.waiting.isEmpty() && !this.response.closed() && !this.response.writeQueueFull()) {
			Buffer next = this.waiting.remove();
			sent += next.length();
			this.response.write(next);
		}
		this.waitingBytes -= sent;
		this.holder.moved(sent, MonotonicClock.millis());
		count();
		if (!this.waiting.isEmpty()) {
			return;
		}
		this.readingOn = false;
		if (this.ended) {
			this.response.end();
		}
		else {
			resume();
		}
	}

	@Override
	public void drop() {
		this.dropped = true;
		this.waiting.clear();
		this.waitingBytes = 0;
		this.kept = 0;
		count();
	}

	@Override
	public void read(Attempt attempt, int keptBytes) {
		if (this.from != attempt) {
			this.from = attempt;
			this.paused = false;
		}
		this.kept = keptBytes;
		count();
		boolean full = !this.waiting.isEmpty() && !this.readingOn;
		if ((full || !this.holder.mayRead()) && !this.paused) {
			this.paused = true;
			this.pausedAt = MonotonicClock.millis();
			this.from.pause(Attempt.PauseReason.CALLER);
		}
	}

	private void resume() {
		if (this.paused) {
			this.paused = false;
			this.from.resume(Attempt.PauseReason.CALLER);
		}
	}

	private void count() {
		this.holder.holds(this.waitingBytes + this.kept, !this.waiting.isEmpty(), MonotonicClock.millis());
	}

	@Override
	public void look(long now) {
		if (this.response.ended() || this.response.closed()) {
			drop();
			this.holdings.close(this.holder);
		}
		else if (this.paused && this.holder.mayRead()) {
			goOn(now);
		}
	}

	/**
	 * Reads a paused replica on: at once if its caller took all and only memory was
	 * short.
	 */
	private void goOn(long now) {
		if (this.waiting.isEmpty()) {
			resume();
		}
		else if (now - this.pausedAt >= READ_ON_MILLIS) {
			if (!this.readingOn) {
				this.holdings.readOn(this.holder, now - this.pausedAt);
			}
			this.readingOn = true;
			resume();
		}
	}

	/**
	 * Says whether an answer is whole here, and its caller has yet to read it.
	 */
	boolean sending() {
		return this.ended && !this.waiting.isEmpty();
	}

	@Override
	public boolean paused() {
		return this.paused && !this.from.ended();
	}

	@Override
	public String what() {
		return "answer";
	}

	@Override
	public void giveUp() {
		this.giveUp.run();
		drop();
		if (!this.response.closed()) {
			this.response.reset();
		}
	}

}
