package org.gullsaddle.gateway;

import java.util.Optional;
import java.util.Set;

import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.RouteKind;
import org.gullsaddle.serve.AttemptEnd;
import org.gullsaddle.serve.Choice;
import org.gullsaddle.serve.Delay;
import org.gullsaddle.serve.ReplicaPicker;
import org.gullsaddle.serve.RetryRule;
import org.gullsaddle.serve.SilencePatience;
import org.gullsaddle.serve.Task;

/**
 * Has one request leave a replica that sends nothing.
 * <p>
 * An unresponsive replica sends not even a reset. Waiting for it until the deadline loses
 * the request, though another replica could still answer in time. It is left only once it
 * is certain that another attempt follows: one that is silent may go on, and an answer
 * that is ended for nothing is lost.
 */
final class SilentReplicaHandler {

	private static final AttemptEnd SILENT = new AttemptEnd.Broken("silent");

	/** How soon a request that could not leave is looked at again, in milliseconds. */
	private static final long AGAIN_MILLIS = 200;

	/** How often a wait is compared with those at other replicas, in milliseconds. */
	private static final long COMPARE_MILLIS = 1000;

	private final Gateway gateway;

	private final RequestExecution serving;

	private final RetryRule rule;

	private final ReplicaChooser replicas;

	private final AnswerRelay relay;

	private Attempt kept;

	private Attempt stayed;

	private long nextLook;

	private long nextComparison;

	SilentReplicaHandler(Gateway gateway, RequestExecution serving, RetryRule rule, ReplicaChooser replicas,
			AnswerRelay relay) {
		this.gateway = gateway;
		this.serving = serving;
		this.rule = rule;
		this.replicas = replicas;
		this.relay = relay;
	}

	/**
	 * Looks at an attempt, and has the request leave it if it is silent for too long.
	 * @param tried the replicas that the request was sent to
	 * @param task what the next attempt is to do
	 */
	void look(long now, Attempt attempt, Set<ReplicaId> tried, Task task) {
		if (now < this.nextLook || attempt.hasEnded() || !this.rule.mayMove(this.serving.request().left(now))) {
			return;
		}
		switch (advice(now, attempt)) {
			case WAIT -> {
			}
			case ASK -> ask(attempt.choice().replica());
			case STAY -> compare(now, attempt, tried, task);
			case LEAVE -> leave(now, attempt, tried, task);
		}
	}

	/**
	 * Where callers press, engines have queues, and are asked before they are left.
	 */
	private SilencePatience.Advice advice(long now, Attempt attempt) {
		Replica replica = attempt.choice().replica();
		boolean asks = this.gateway.settings().load().pressure() && this.serving.request().engine().isPresent()
				&& this.replicas.mayAsk(replica);
		if (!asks) {
			return silent(now, attempt) ? SilencePatience.Advice.LEAVE : SilencePatience.Advice.WAIT;
		}
		long patience = picker().patience(attempt.choice(), attempt.answer() == null, patience());
		return this.gateway.routingState()
			.patience()
			.look(now, replica.id(), picker().silentSince(attempt.choice(), since(attempt)), patience);
	}

	private void ask(Replica replica) {
		SilencePatience patience = this.gateway.routingState().patience();
		patience.asked(replica.id());
		this.gateway.telemetry().count("silent.replicas.asked");
		this.gateway.loadProbe()
			.probe(replica, SilencePatience.ANSWER_MILLIS)
			.onSuccess((told) -> told.ifPresentOrElse(
					(report) -> patience.told(MonotonicClock.millis(), replica.id(), report),
					() -> patience.notTold(MonotonicClock.millis(), replica.id())));
	}

	/**
	 * Stays in a replica's queue, unless another one would begin clearly sooner.
	 */
	private void compare(long now, Attempt attempt, Set<ReplicaId> tried, Task task) {
		if (now < this.nextComparison) {
			return;
		}
		this.nextComparison = now + COMPARE_MILLIS;
		Optional<Choice> other = mayGoOn() ? this.replicas.known(task, tried) : Optional.empty();
		Delay here = this.replicas.delayAt(attempt.choice().replica(), task);
		Optional<Delay> there = other.map((choice) -> this.replicas.delayAt(choice.replica(), task));
		if (there.isPresent() && SilencePatience.sooner(here, there.get())) {
			String why = "begins in " + Math.round(there.get().expectedMillis()) + " ms elsewhere, in "
					+ Math.round(here.expectedMillis()) + " ms here";
			leave(attempt, new AttemptEnd.Withdrawn(why), other);
		}
		else if (this.stayed != attempt) {
			this.stayed = attempt;
			note(attempt, "stayed", "requests wait their turn there");
		}
	}

	private void leave(long now, Attempt attempt, Set<ReplicaId> tried, Task task) {
		this.nextLook = now + AGAIN_MILLIS;
		String why = whyKept(tried);
		if (!why.isEmpty()) {
			keep(attempt, SILENT, why);
			return;
		}
		this.replicas.choose(task, tried, (choice) -> leave(attempt, SILENT, choice));
	}

	/**
	 * Leaves the replica, unless it has answered while another one was chosen.
	 */
	private void leave(Attempt attempt, AttemptEnd end, Optional<Choice> choice) {
		if (!this.serving.isWaitingFor(attempt) || !silent(MonotonicClock.millis(), attempt)) {
			return;
		}
		if (choice.isEmpty()) {
			keep(attempt, end, "no replica");
		}
		else if (!this.gateway.routingState().spendRetry()) {
			keep(attempt, end, "no retry left");
		}
		else {
			note(attempt, "left", end.why());
			this.serving.moveTo(attempt, end, choice.get());
		}
	}

	/**
	 * Stays where nothing could follow. A silent replica counts as failing all the same,
	 * so that it gets no more requests.
	 */
	private void keep(Attempt attempt, AttemptEnd end, String why) {
		if (this.kept != attempt) {
			this.kept = attempt;
			if (end instanceof AttemptEnd.Broken) {
				picker().silent(MonotonicClock.millis(), attempt.choice().replica());
			}
			note(attempt, "kept", why);
		}
	}

	private void note(Attempt attempt, String outcome, String reason) {
		this.gateway.telemetry().count("silent.replicas." + outcome);
		this.gateway.log().silent(this.serving.id(), attempt.choice().replica().id(), outcome, reason);
	}

	/**
	 * Says why a silent replica is waited for all the same, empty if it need not be.
	 */
	private String whyKept(Set<ReplicaId> tried) {
		if (!mayGoOn()) {
			return "no way to go on with the answer";
		}
		return this.replicas.another(tried, this.serving.model()) ? "" : "no replica";
	}

	/**
	 * Says whether another replica could go on with what the caller has.
	 */
	boolean mayGoOn() {
		return !this.relay.hasBegun() || (this.serving.route().resumable() && this.relay.lastEventId().isPresent());
	}

	/**
	 * One that answers others is alive, and only busy: moved away, its queue would be
	 * built up anew elsewhere.
	 */
	private boolean silent(long now, Attempt attempt) {
		if (this.serving.route().kind() == RouteKind.IDEMPOTENT) {
			return now - since(attempt) > patience();
		}
		return picker().unresponsive(now, attempt.choice(), since(attempt), attempt.answer() == null, patience());
	}

	private long patience() {
		return this.gateway.routingState().silenceMillis(this.serving.route(), this.relay.hasBegun());
	}

	private long since(Attempt attempt) {
		return this.gateway.stallDetector().silentSince(attempt.lastByteAt());
	}

	private ReplicaPicker picker() {
		return this.gateway.routingState().picker();
	}

}
