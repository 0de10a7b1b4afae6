package org.gullsaddle.route;

import org.gullsaddle.base.Completion;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.Refusal;
import org.gullsaddle.base.RefusalReason;
import org.gullsaddle.base.Verdict;
import org.gullsaddle.clock.Moment;

/**
 * Gives each request its one final answer, and its record once nothing more will happen.
 */
final class FinalAnswers {

	static final String SERVED = "served";

	private final RouterSettings settings;

	private final OpenRequests open;

	private final Outbox outbox;

	private final SpotChecks spotChecks;

	FinalAnswers(RouterSettings settings, OpenRequests open, Outbox outbox, SpotChecks spotChecks) {
		this.settings = settings;
		this.open = open;
		this.outbox = outbox;
		this.spotChecks = spotChecks;
	}

	void complete(Moment now, RequestState state, ModelVersion version, Completion completion, String outcome) {
		this.outbox.add(new RouterAction.Complete(state.id(), version.toString(), completion, state.cost()));
		this.outbox.settleClaim(state, version, completion);
		state.answer(outcome, now.stamp(), now.millis());
		if (state.request().isRepeatable() && !state.wasRated()) {
			this.spotChecks.consider(state, version, state.received().toString()).ifPresent(this.outbox::add);
		}
		record(state);
	}

	void deliverFallback(Moment now, RequestState state, String outcome) {
		RequestState.Fallback fallback = state.fallback();
		this.outbox.add(new RouterAction.Deliver(state.id(), fallback.version(), fallback.text()));
		complete(now, state, fallback.version(), fallback.completion(), outcome);
	}

	void giveUp(Moment now, RequestState state, Refusal refusal) {
		if (state.fallback() != null && !state.delivering()) {
			// An answer that missed the bar, or was not rated, is worth more than none.
			deliverFallback(now, state, "served-below-target");
			return;
		}
		Refusal told = new Refusal(refusal.reason(), state.verdict().and(refusal.verdict()),
				refusal.retryAfterMillis());
		this.outbox.add(new RouterAction.Refuse(state.id(), told));
		end(now, state, told.reason().toString());
	}

	void end(Moment now, RequestState state, String outcome) {
		long recordBy = now.millis() + this.settings.attemptEndTimeoutMillis();
		state.answer(outcome, now.stamp(), recordBy);
		if (state.outstanding() == null) {
			if (state.verdict() == Verdict.NOT_RUN) {
				this.outbox.releaseClaim(state);
			}
			record(state);
		}
		else {
			this.open.wake(recordBy, state.id());
		}
	}

	void record(RequestState state) {
		this.open.remove(state.id());
		this.outbox.add(new RouterAction.WriteRecord(state.record()));
	}

	/**
	 * Gives a call that was sent again the answer of its first run, once the store has
	 * the record.
	 * <p>
	 * No agent takes part, so that the record is on this node alone: were the caller
	 * answered first and the node lost then, it would have been served without a trace.
	 * The answer waits for one write to the ledger, and at most until the deadline.
	 */
	void repeat(Moment now, RequestState state, CallOutcome outcome) {
		state.awaitRecord(outcome);
		state.answer("repeated from " + outcome.request(), now.stamp(), state.request().deadline());
		this.outbox.add(new RouterAction.WriteRecordBeforeAnswer(state.record()));
	}

	/**
	 * Gives the answer that waited for its record. Its record is written a second time;
	 * bills count it once.
	 */
	void recordKept(RequestState state) {
		this.outbox.repeat(state, state.repeat().orElseThrow());
		record(state);
	}

	/**
	 * Ends a request whose answer still waits for its record.
	 */
	void abandonRepeat(Moment now, RequestState state, RefusalReason reason) {
		if (reason != RefusalReason.CALLER_GONE) {
			this.outbox.add(new RouterAction.Refuse(state.id(), new Refusal(reason, Verdict.MAY_HAVE_RUN, 0)));
		}
		state.answer(reason.toString(), now.stamp(), now.millis());
		record(state);
	}

	/**
	 * Writes a record that has waited long enough for the end of its last attempt.
	 */
	void recordLate(Moment now, RequestState state) {
		if (state.repeat().isPresent()) {
			abandonRepeat(now, state, RefusalReason.DEADLINE);
		}
		else {
			record(state);
		}
	}

}
