package org.gullsaddle.gateway;

import java.util.OptionalInt;

import org.gullsaddle.serve.AttemptEnd;
import org.gullsaddle.serve.ReplicaChoice;
import org.gullsaddle.serve.ReplicaTask;
import org.gullsaddle.serve.WorkShares;

/**
 * Tracks whether a generation waits behind other requests of its rank because its team
 * has used up its share: of the requests, or under pressure of the engines' work.
 */
final class RequestPriority {

	private final SharedRoutingState routingState;

	private final ServedRequest request;

	private boolean overShare;

	RequestPriority(SharedRoutingState routingState, ServedRequest request) {
		this.routingState = routingState;
		this.request = request;
	}

	/**
	 * Handles the arrival of the request.
	 */
	void onArrival(long now) {
		if (this.request.engine().isEmpty() || this.routingState.workShares().isPresent()) {
			return;
		}
		this.overShare = this.request.team().map((id) -> this.routingState.recordRequest(id, now)).orElse(false);
	}

	/**
	 * Records that the request is sent to an engine.
	 * @return its urgency there, empty for a plain service
	 */
	OptionalInt recordSent(long now, ReplicaChoice choice, ReplicaTask task) {
		if (this.request.engine().isEmpty()) {
			return OptionalInt.empty();
		}
		this.routingState.workShares().ifPresent((shares) -> this.request.team().ifPresent((id) -> {
			double work = WorkShares.workOf(choice.unreadTokens(), task);
			this.overShare = shares.recordSent(now, id, this.request.rank(), work);
		}));
		return OptionalInt.of(SharedRoutingState.urgency(this.request.rank(), this.overShare));
	}

	/**
	 * Handles the end of an attempt.
	 */
	void onEnded(long now, ReplicaChoice choice, ReplicaTask task, AttemptEnd end) {
		boolean counted = this.request.engine().isPresent() && this.request.team().isPresent();
		if (counted && !(end instanceof AttemptEnd.NotRun)) {
			this.routingState.workShares()
				.ifPresent((shares) -> shares.recordEnded(now, WorkShares.workOf(choice.unreadTokens(), task)));
		}
	}

	/**
	 * Returns whether the request waited behind other requests of its rank.
	 */
	boolean isOverShare() {
		return this.overShare;
	}

}
