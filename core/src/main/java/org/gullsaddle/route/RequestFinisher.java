package org.gullsaddle.route;

import org.gullsaddle.base.Completion;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.Refusal;
import org.gullsaddle.base.RefusalReason;
import org.gullsaddle.base.Verdict;
import org.gullsaddle.clock.Moment;

/**
 * Gives each request its one final answer, and writes its record once its last attempt
 * has ended or the wait for that end is over.
 */
final class RequestFinisher {

	static final String SERVED = "served";

	private final RouterSettings settings;

	private final OpenRequests openRequests;

	private final ActionBuffer actions;

	private final SpotChecks spotChecks;

	RequestFinisher(RouterSettings settings, OpenRequests openRequests, ActionBuffer actions, SpotChecks spotChecks) {
		this.settings = settings;
		this.openRequests = openRequests;
		this.actions = actions;
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

	/**
	 * Ends a request that cannot be served: delivers the saved answer of an earlier stage
	 * if there is one, otherwise refuses the request.
	 */
	void giveUp(Moment now, RequestState state, Refusal refusal) {
		if (state.fallback() != null && !state.isDelivering()) {
			// An answer below the threshold, or without a rating, is worth more than
			// none.
			deliverFallback(now, state, "served-below-target");
			return;
		}
		Refusal finalRefusal = new Refusal(refusal.reason(), state.verdict().combine(refusal.verdict()),
				refusal.retryAfterMillis());
		this.actions.add(new RouterAction.Refuse(state.id(), finalRefusal));
		finish(now, state, finalRefusal.reason().toString());
	}

	/**
	 * Marks a request as answered. Its record waits for the end of an outstanding
	 * attempt, up to a time limit.
	 */
	void finish(Moment now, RequestState state, String outcome) {
		long recordDue = now.millis() + this.settings.attemptEndTimeoutMillis();
		state.markAnswered(outcome, now.stamp(), recordDue);
		if (state.outstanding() == null) {
			if (state.verdict() == Verdict.NOT_RUN) {
				this.actions.releaseClaim(state);
			}
			writeRecord(state);
		}
		else {
			this.openRequests.scheduleCheck(recordDue, state.id());
		}
	}

	void writeRecord(RequestState state) {
		this.openRequests.remove(state.id());
		this.actions.add(new RouterAction.WriteRecord(state.toRecord()));
	}

	/**
	 * Answers a repeated call with the stored answer of the first one, once the record of
	 * this request is stored.
	 * <p>
	 * No agent holds a line of this request, so the record exists on this node alone. If
	 * the caller were answered first and the node lost then, the request would be served
	 * without a record. The answer therefore waits for one write to the ledger, at most
	 * until the deadline.
	 */
	void replay(Moment now, RequestState state, CallOutcome outcome) {
		state.replayAfterRecord(outcome);
		state.markAnswered("repeated from " + outcome.request(), now.stamp(), state.request().deadline());
		this.actions.add(new RouterAction.WriteRecordBeforeAnswer(state.toRecord()));
	}

	/**
	 * Delivers the answer that waited for its record. The record is written a second
	 * time; bills count it once.
	 */
	void onRecordStored(RequestState state) {
		this.actions.replay(state, state.replayedOutcome().orElseThrow());
		writeRecord(state);
	}

	/**
	 * Ends a request whose answer still waits for its record, without that answer.
	 */
	void abandonReplay(Moment now, RequestState state, RefusalReason reason) {
		if (reason != RefusalReason.CALLER_GONE) {
			this.actions.add(new RouterAction.Refuse(state.id(), new Refusal(reason, Verdict.MAY_HAVE_RUN, 0)));
		}
		state.markAnswered(reason.toString(), now.stamp(), now.millis());
		writeRecord(state);
	}

	/**
	 * Writes a record whose wait for the end of its last attempt is over, or ends a
	 * request whose own record was not stored before the deadline.
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
