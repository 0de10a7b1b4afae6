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
final class RequestFinisher {

	static final String SERVED = "served";

	private final RouterSettings settings;

	private final OpenRequests openRequests;

	private final ActionBuffer actions;

	private final SpotChecks spotChecks;

	RequestFinisher(RouterSettings settings, OpenRequests open, ActionBuffer outbox, SpotChecks spotChecks) {
		this.settings = settings;
		this.openRequests = open;
		this.actions = outbox;
		this.spotChecks = spotChecks;
	}

	void complete(Moment now, RequestState state, ModelVersion version, Completion completion, String outcome) {
		this.actions
			.add(new RouterAction.Complete(state.id(), version.toString(), completion, state.totalCostMicros()));
		this.actions.completeClaim(state, version, completion);
		state.markAnswered(outcome, now.stamp(), now.millis());
		if (state.request().isRepeatable() && !state.isRatedBeforeDelivery()) {
			this.spotChecks.chooseForRating(state, version, state.receivedText().toString())
				.ifPresent(this.actions::add);
		}
		writeRecord(state);
	}

	void deliverFallback(Moment now, RequestState state, String outcome) {
		RequestState.Fallback fallback = state.fallback();
		this.actions.add(new RouterAction.Deliver(state.id(), fallback.version(), fallback.text()));
		complete(now, state, fallback.version(), fallback.completion(), outcome);
	}

	void giveUp(Moment now, RequestState state, Refusal refusal) {
		if (state.fallback() != null && !state.isDelivering()) {
			// An answer that missed the bar, or was not rated, is worth more than none.
			deliverFallback(now, state, "served-below-target");
			return;
		}
		Refusal told = new Refusal(refusal.reason(), state.verdict().and(refusal.verdict()),
				refusal.retryAfterMillis());
		this.actions.add(new RouterAction.Refuse(state.id(), told));
		finish(now, state, told.reason().toString());
	}

	void finish(Moment now, RequestState state, String outcome) {
		long recordBy = now.millis() + this.settings.attemptEndTimeoutMillis();
		state.markAnswered(outcome, now.stamp(), recordBy);
		if (state.outstanding() == null) {
			if (state.verdict() == Verdict.NOT_RUN) {
				this.actions.releaseClaim(state);
			}
			writeRecord(state);
		}
		else {
			this.openRequests.scheduleCheck(recordBy, state.id());
		}
	}

	void writeRecord(RequestState state) {
		this.openRequests.remove(state.id());
		this.actions.add(new RouterAction.WriteRecord(state.toRecord()));
	}

	/**
	 * Gives a call that was sent again the answer of its first run, once the store has
	 * the record.
	 * <p>
	 * No agent takes part, so that the record is on this node alone: were the caller
	 * answered first and the node lost then, it would have been served without a trace.
	 * The answer waits for one write to the ledger, and at most until the deadline.
	 */
	void replay(Moment now, RequestState state, CallOutcome outcome) {
		state.replayAfterRecord(outcome);
		state.markAnswered("repeated from " + outcome.request(), now.stamp(), state.request().deadline());
		this.actions.add(new RouterAction.WriteRecordBeforeAnswer(state.toRecord()));
	}

	/**
	 * Gives the answer that waited for its record. Its record is written a second time;
	 * bills count it once.
	 */
	void onRecordStored(RequestState state) {
		this.actions.replay(state, state.replayedOutcome().orElseThrow());
		writeRecord(state);
	}

	/**
	 * Ends a request whose answer still waits for its record.
	 */
	void abandonReplay(Moment now, RequestState state, RefusalReason reason) {
		if (reason != RefusalReason.CALLER_GONE) {
			this.actions.add(new RouterAction.Refuse(state.id(), new Refusal(reason, Verdict.MAY_HAVE_RUN, 0)));
		}
		state.markAnswered(reason.toString(), now.stamp(), now.millis());
		writeRecord(state);
	}

	/**
	 * Writes a record that has waited long enough for the end of its last attempt.
	 */
	void writeOverdueRecord(Moment now, RequestState state) {
		if (state.replayedOutcome().isPresent()) {
			abandonReplay(now, state, RefusalReason.DEADLINE);
		}
		else {
			writeRecord(state);
		}
	}

}
