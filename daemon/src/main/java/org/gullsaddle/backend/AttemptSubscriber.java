package org.gullsaddle.backend;

import java.util.function.Consumer;

import io.reactivex.rxjava3.subscribers.DisposableSubscriber;

import org.gullsaddle.base.Completion;
import org.gullsaddle.base.Dispatch;
import org.gullsaddle.base.Usage;
import org.gullsaddle.base.Verdict;

/**
 * One attempt on the backend server. It reads on only while the caller keeps up, so that
 * a slow caller holds back its own answer and not the agent's memory.
 */
final class AttemptSubscriber extends DisposableSubscriber<BackendEvent> {

	/** How many characters may be under way to the caller. */
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
			case BackendEvent.Chunk part -> {
				this.chunks++;
				this.outcomeSink.accept(new Outcome.Chunk(part.text()));
				requestNextWithinWindow(part.text().length());
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
		onError(new BackendException("the answer ended without its end", Verdict.MAY_HAVE_RUN, null));
	}

	/**
	 * Stops the attempt; what ran of it is told as broken off.
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
		boolean first = !this.ended;
		this.ended = true;
		return first;
	}

	/**
	 * What came of the attempt.
	 */
	sealed interface Outcome {

		/**
		 * A part of the answer.
		 */
		record Chunk(String text) implements Outcome {
		}

		/**
		 * The answer ended.
		 */
		record Completed(Completion completion) implements Outcome {
		}

		/**
		 * The answer broke off.
		 */
		record Failed(Verdict verdict, Usage usage, String reason) implements Outcome {
		}

	}

}
