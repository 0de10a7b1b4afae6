package org.gullsaddle.backend;

import java.util.function.Consumer;

import io.reactivex.rxjava3.subscribers.DisposableSubscriber;

import org.gullsaddle.base.Completion;
import org.gullsaddle.base.Dispatch;
import org.gullsaddle.base.Usage;
import org.gullsaddle.base.Verdict;

/**
 * Receives the events of one attempt on the backend server. It requests more only while
 * the caller keeps up, so that a slow caller delays its own answer instead of filling the
 * agent's memory.
 */
final class AttemptSubscriber extends DisposableSubscriber<BackendEvent> {

	/** How many characters may be sent and not yet credited by the caller. */
	private static final int MAX_UNACKNOWLEDGED_CHARACTERS = 1 << 16;

	private final Dispatch dispatch;

	private final Consumer<Outcome> outcomeSink;

	private int unacknowledgedCharacters;

	private boolean paused;

	private long chunks;

	private boolean ended;

	AttemptSubscriber(Dispatch dispatch, Consumer<Outcome> sink) {
		this.dispatch = dispatch;
		this.outcomeSink = sink;
	}

	Dispatch dispatch() {
		return this.dispatch;
	}

	@Override
	protected void onStart() {
		request(1);
	}

	@Override
	public void onNext(BackendEvent event) {
		switch (event) {
			case BackendEvent.Chunk chunk -> {
				this.chunks++;
				this.outcomeSink.accept(new Outcome.Chunk(chunk.text()));
				requestNextWithinWindow(chunk.text().length());
			}
			case BackendEvent.End end -> {
				if (markEnded()) {
					this.outcomeSink.accept(new Outcome.Completed(end.completion()));
				}
			}
		}
	}

	@Override
	public void onError(Throwable failure) {
		if (markEnded()) {
			Verdict verdict = (failure instanceof BackendException known) ? known.verdict() : Verdict.MAY_HAVE_RUN;
			this.outcomeSink.accept(new Outcome.Failed(verdict, new Usage(0, this.chunks), failure.getMessage()));
		}
	}

	@Override
	public void onComplete() {
		onError(new BackendException("the answer's stream completed without an end event", Verdict.MAY_HAVE_RUN, null));
	}

	/**
	 * Stops the attempt and reports it as failed, with the usage so far.
	 */
	void abort() {
		dispose();
		onError(new BackendException("stopped", Verdict.MAY_HAVE_RUN, null));
	}

	synchronized void onCredit(int characters) {
		this.unacknowledgedCharacters = Math.max(0, this.unacknowledgedCharacters - characters);
		if (this.paused && this.unacknowledgedCharacters < MAX_UNACKNOWLEDGED_CHARACTERS) {
			this.paused = false;
			request(1);
		}
	}

	private synchronized void requestNextWithinWindow(int characters) {
		this.unacknowledgedCharacters += characters;
		if (this.unacknowledgedCharacters < MAX_UNACKNOWLEDGED_CHARACTERS) {
			request(1);
		}
		else {
			this.paused = true;
		}
	}

	private synchronized boolean markEnded() {
		boolean isFirst = !this.ended;
		this.ended = true;
		return isFirst;
	}

	/**
	 * A result of the attempt: a chunk of its answer, or its end.
	 */
	sealed interface Outcome {

		/**
		 * A chunk of the answer's text.
		 */
		record Chunk(String text) implements Outcome {
		}

		/**
		 * The answer is complete.
		 */
		record Completed(Completion completion) implements Outcome {
		}

		/**
		 * The attempt failed or was stopped before its answer was complete.
		 */
		record Failed(Verdict verdict, Usage usage, String reason) implements Outcome {
		}

	}

}
