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
final class Run extends DisposableSubscriber<BackendEvent> {

	/** How many characters may be under way to the caller. */
	private static final int WINDOW = 1 << 16;

	private final Dispatch dispatch;

	private final Consumer<Outcome> sink;

	private int underWay;

	private boolean waiting;

	private long parts;

	private boolean over;

	Run(Dispatch dispatch, Consumer<Outcome> sink) {
		this.dispatch = dispatch;
		this.sink = sink;
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
			case BackendEvent.Part part -> {
				this.parts++;
				this.sink.accept(new Outcome.Part(part.text()));
				readOn(part.text().length());
			}
			case BackendEvent.End end -> {
				if (finish()) {
					this.sink.accept(new Outcome.Ended(end.completion()));
				}
			}
		}
	}

	@Override
	public void onError(Throwable failure) {
		if (finish()) {
			Verdict verdict = (failure instanceof BackendException known) ? known.verdict() : Verdict.MAY_HAVE_RUN;
			this.sink.accept(new Outcome.Broke(verdict, new Usage(0, this.parts), failure.getMessage()));
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

	synchronized void credit(int characters) {
		this.underWay = Math.max(0, this.underWay - characters);
		if (this.waiting && this.underWay < WINDOW) {
			this.waiting = false;
			request(1);
		}
	}

	private synchronized void readOn(int characters) {
		this.underWay += characters;
		if (this.underWay < WINDOW) {
			request(1);
		}
		else {
			this.waiting = true;
		}
	}

	private synchronized boolean finish() {
		boolean first = !this.over;
		this.over = true;
		return first;
	}

	/**
	 * What came of the attempt.
	 */
	sealed interface Outcome {

		/**
		 * A part of the answer.
		 */
		record Part(String text) implements Outcome {
		}

		/**
		 * The answer ended.
		 */
		record Ended(Completion completion) implements Outcome {
		}

		/**
		 * The answer broke off.
		 */
		record Broke(Verdict verdict, Usage usage, String reason) implements Outcome {
		}

	}

}
