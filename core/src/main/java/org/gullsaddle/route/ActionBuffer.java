package org.gullsaddle.route;

import java.util.ArrayList;
import java.util.List;

import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.Completion;
import org.gullsaddle.base.Dispatch;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.template.TeamRule;

/**
 * Collects the actions that an event leads to, and builds those that are needed in
 * several places.
 */
final class ActionBuffer {

	private final List<RouterAction> actions = new ArrayList<>();

	void add(RouterAction action) {
		this.actions.add(action);
	}

	List<RouterAction> takeAll() {
		List<RouterAction> all = List.copyOf(this.actions);
		this.actions.clear();
		return all;
	}

	void send(RequestState state, NodeId agent, AttemptId attempt, boolean alone) {
		IncomingRequest request = state.request();
		TeamRule rule = state.template().findTeam(state.team()).orElseThrow();
		String resume = state.isLastStage() ? state.receivedText().toString() : "";
		add(new RouterAction.Send(agent,
				new Dispatch(attempt, state.team(), request.template(), state.revision().revision(), state.version(),
						state.isPinned(), rule.rank(), rule.weight(), request.deadline(), request.isRepeatable(), alone,
						request.fingerprint(), resume, request.body())));
	}

	/**
	 * Cancels the outstanding attempt, unless the request may run only once: such a call
	 * must not be interrupted.
	 */
	void cancel(RequestState state) {
		if (state.outstanding() != null && state.request().isRepeatable()) {
			add(new RouterAction.Cancel(state.outstanding().agent(), state.outstanding().attempt()));
		}
	}

	void replay(RequestState state, CallOutcome outcome) {
		if (!outcome.text().isEmpty()) {
			add(new RouterAction.Deliver(state.id(), ModelVersion.of(outcome.servedBy()), outcome.text()));
		}
		add(new RouterAction.Complete(state.id(), outcome.servedBy(), outcome.completion(), state.totalCostMicros()));
	}

	void completeClaim(RequestState state, ModelVersion version, Completion completion) {
		if (state.hasClaim()) {
			CallOutcome outcome = new CallOutcome(state.id(), version.toString(), completion,
					state.receivedText().toString());
			add(new RouterAction.CompleteClaim(state.id(), state.team(), state.request().idempotencyKey().orElseThrow(),
					outcome));
		}
	}

	void releaseClaim(RequestState state) {
		if (state.hasClaim()) {
			add(new RouterAction.ReleaseClaim(state.id(), state.team(),
					state.request().idempotencyKey().orElseThrow()));
		}
	}

}
