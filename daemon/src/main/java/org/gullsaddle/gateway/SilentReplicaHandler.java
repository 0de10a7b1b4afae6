package org.gullsaddle.gateway;

import java.util.Optional;
import java.util.Set;

import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.RouteKind;
import org.gullsaddle.serve.AttemptEnd;
import org.gullsaddle.serve.DelayEstimate;
import org.gullsaddle.serve.ReplicaChoice;
import org.gullsaddle.serve.ReplicaSelector;
import org.gullsaddle.serve.ReplicaTask;
import org.gullsaddle.serve.RetryPolicy;
import org.gullsaddle.serve.RetryReason;
import org.gullsaddle.serve.SilentReplicaPolicy;

/**
 * Moves one request away from a replica that sends nothing.
 * <p>
 * An unresponsive replica does not even send a reset. Waiting for it until the deadline
 * loses the request although another replica could still answer in time. The attempt is
 * ended only once another one is certain to follow: a silent replica may resume, and its
 * answer would be lost for nothing.
 */
final class SilentReplicaHandler {

	private static final AttemptEnd SILENT = new AttemptEnd.Broken("silent");

	/**
	 * Delay before a request that could not move is checked again, in milliseconds.
	 */
	private static final long RECHECK_DELAY_MILLIS = 200;

	/**
	 * Interval at which the wait is compared with that at other replicas, in
	 * milliseconds.
	 */
	private static final long COMPARISON_INTERVAL_MILLIS = 1000;

	private final Gateway gateway;

	private final RequestExecution execution;

	private final RetryPolicy retryPolicy;

	private final ReplicaChooser replicas;

	private final AnswerRelay relay;

	private Attempt keptAttempt;

	private Attempt queuedAttempt;

	private long nextCheckAt;

	private long nextComparisonAt;

	SilentReplicaHandler(Gateway gateway, RequestExecution execution, RetryPolicy retryPolicy, ReplicaChooser replicas,
			AnswerRelay relay) {
		this.gateway = gateway;
		this.execution = execution;
		this.retryPolicy = retryPolicy;
		this.replicas = replicas;
		this.relay = relay;
	}

	/**
	 * Checks an attempt and moves the request to another replica if it is silent for too
	 * long.
	 * @param tried the replicas that the request was sent to
	 * @param task the task of the next attempt
	 */
	void check(long now, Attempt attempt, Set<ReplicaId> tried, ReplicaTask task) {
		if (now < this.nextCheckAt || attempt.hasEnded()
				|| !this.retryPolicy.canMoveAttempt(this.execution.request().remainingMillis(now))) {
			return;
		}
		switch (advice(now, attempt)) {
			case WAIT -> {
			}
			case QUERY_LOAD -> probe(attempt.choice().replica());
			case STAY -> compareQueues(now, attempt, tried, task);
			case LEAVE -> leave(now, attempt, tried, task);
		}
	}

	/**
	 * Returns what to do about the attempt. Under pressure engines have queues and are
	 * probed before the request leaves them.
	 */
	private SilentReplicaPolicy.Action advice(long now, Attempt attempt) {
		Replica replica = attempt.choice().replica();
		boolean asks = this.gateway.settings().load().pressure() && this.execution.request().engine().isPresent()
				&& this.replicas.canProbe(replica);
		if (!asks) {
			return isSilent(now, attempt) ? SilentReplicaPolicy.Action.LEAVE : SilentReplicaPolicy.Action.WAIT;
		}
		long maxSilenceMillis = replicaSelector().maxSilenceMillis(attempt.choice(), attempt.answer() == null,
				patienceMillis());
		return this.gateway.routingState()
			.silentReplicaPolicy()
			.decideAction(now, replica.id(), replicaSelector().silentSince(attempt.choice(), silentSince(attempt)),
					maxSilenceMillis);
	}

	private void probe(Replica replica) {
		SilentReplicaPolicy silentReplicaPolicy = this.gateway.routingState().silentReplicaPolicy();
		silentReplicaPolicy.onLoadQuery(replica.id());
		this.gateway.telemetry().count("silent.replicas.asked");
		this.gateway.loadProbe()
			.probe(replica, SilentReplicaPolicy.LOAD_QUERY_MILLIS)
			.onSuccess((answer) -> answer.ifPresentOrElse(
					(report) -> silentReplicaPolicy.onLoadReport(MonotonicClock.millis(), replica.id(), report),
					() -> silentReplicaPolicy.onNoLoadReport(MonotonicClock.millis(), replica.id())));
	}

	/**
	 * Stays in a replica's queue unless another replica would begin clearly sooner.
	 */
	private void compareQueues(long now, Attempt attempt, Set<ReplicaId> tried, ReplicaTask task) {
		if (now < this.nextComparisonAt) {
			return;
		}
		this.nextComparisonAt = now + COMPARISON_INTERVAL_MILLIS;
		Optional<ReplicaChoice> other = canContinueElsewhere() ? this.replicas.chooseAmongReported(task, tried)
				: Optional.empty();
		DelayEstimate here = this.replicas.expectedDelay(attempt.choice().replica(), task);
		Optional<DelayEstimate> there = other.map((choice) -> this.replicas.expectedDelay(choice.replica(), task));
		if (there.isPresent() && SilentReplicaPolicy.isClearlySooner(here, there.get())) {
			String reason = "begins in " + Math.round(there.get().expectedMillis()) + " ms elsewhere, in "
					+ Math.round(here.expectedMillis()) + " ms here";
			leave(attempt, new AttemptEnd.Withdrawn(reason), other);
		}
		else if (this.queuedAttempt != attempt) {
			this.queuedAttempt = attempt;
			recordOutcome(attempt, "stayed", "requests wait their turn there");
		}
	}

	private void leave(long now, Attempt attempt, Set<ReplicaId> tried, ReplicaTask task) {
		this.nextCheckAt = now + RECHECK_DELAY_MILLIS;
		String reason = reasonToStay(tried);
		if (!reason.isEmpty()) {
			stay(attempt, SILENT, reason);
			return;
		}
		this.replicas.choose(task, tried, (choice) -> leave(attempt, SILENT, choice));
	}

	/**
	 * Leaves the replica unless it has answered while another one was being chosen.
	 */
	private void leave(Attempt attempt, AttemptEnd end, Optional<ReplicaChoice> choice) {
		if (!this.execution.isWaitingFor(attempt) || !isSilent(MonotonicClock.millis(), attempt)) {
			return;
		}
		if (choice.isEmpty()) {
			stay(attempt, end, "no replica");
		}
		else if (!this.gateway.retries().trySpend(this.execution.request(), RetryReason.WAIT)) {
			stay(attempt, end, "no retry left");
		}
		else {
			recordOutcome(attempt, "left", end.endReason());
			this.execution.moveTo(attempt, end, choice.get());
		}
	}

	/**
	 * Stays because no other attempt could follow. The silent replica counts as failing
	 * nevertheless, so that it gets no more requests.
	 */
	private void stay(Attempt attempt, AttemptEnd end, String reason) {
		if (this.keptAttempt != attempt) {
			this.keptAttempt = attempt;
			if (end instanceof AttemptEnd.Broken) {
				replicaSelector().onSilent(MonotonicClock.millis(), attempt.choice().replica());
			}
			recordOutcome(attempt, "kept", reason);
		}
	}

	private void recordOutcome(Attempt attempt, String outcome, String reason) {
		this.gateway.telemetry().count("silent.replicas." + outcome);
		this.gateway.log().replicaSilent(this.execution.id(), attempt.choice().replica().id(), outcome, reason);
	}

	/**
	 * Returns why the request stays at a silent replica, empty if it may leave.
	 */
	private String reasonToStay(Set<ReplicaId> tried) {
		if (!canContinueElsewhere()) {
			return "no way to go on with the answer";
		}
		return this.replicas.hasUntried(tried, this.execution.model()) ? "" : "no replica";
	}

	/**
	 * Returns whether another replica could continue after what the caller has received.
	 */
	boolean canContinueElsewhere() {
		return !this.relay.hasBegun() || (this.execution.route().isResumable() && this.relay.lastEventId().isPresent());
	}

	/**
	 * Returns whether the replica counts as silent. One that answers other requests is
	 * only busy; moving its requests would rebuild its queue elsewhere.
	 */
	private boolean isSilent(long now, Attempt attempt) {
		if (this.execution.route().kind() == RouteKind.IDEMPOTENT) {
			return now - silentSince(attempt) > patienceMillis();
		}
		return replicaSelector().isUnresponsive(now, attempt.choice(), silentSince(attempt), attempt.answer() == null,
				patienceMillis());
	}

	private long patienceMillis() {
		return this.gateway.routingState().silenceMillis(this.execution.route(), this.relay.hasBegun());
	}

	private long silentSince(Attempt attempt) {
		return this.gateway.stallDetector().silentSince(attempt.lastByteAt());
	}

	private ReplicaSelector replicaSelector() {
		return this.gateway.routingState().replicaSelector();
	}

}
