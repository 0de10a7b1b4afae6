package org.gullsaddle.gateway;

import java.util.Optional;
import java.util.Set;

import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.RouteKind;
import org.gullsaddle.serve.Choice;
import org.gullsaddle.serve.RetryRule;
import org.gullsaddle.serve.Task;

/**
 * Has one request leave a replica that sends nothing.
 * <p>
 * An unresponsive replica sends not even a reset. Waiting for it until the deadline loses
 * the request, though another replica could still answer in time. It is left only once it
 * is certain that another attempt follows: one that is silent may go on, and an answer
 * that is ended for nothing is lost.
 */
final class Silence {

	/** How soon a request that could not leave is looked at again, in milliseconds. */
	private static final long AGAIN_MILLIS = 200;

	private final Gateway gateway;

	private final Serving serving;

	private final RetryRule rule;

	private final ReplicaChooser replicas;

	private final AnswerRelay relay;

	private Attempt kept;

	private long nextLook;

	Silence(Gateway gateway, Serving serving, RetryRule rule, ReplicaChooser replicas, AnswerRelay relay) {
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
		if (now < this.nextLook || attempt.ended() || !this.rule.mayMove(this.serving.request().left(now))
				|| !silent(now, attempt)) {
			return;
		}
		this.nextLook = now + AGAIN_MILLIS;
		String why = whyKept(tried);
		if (!why.isEmpty()) {
			keep(attempt, why);
			return;
		}
		this.replicas.choose(task, tried, (choice) -> leave(attempt, choice));
	}

	/**
	 * Leaves the replica, unless it has answered while another one was chosen.
	 */
	private void leave(Attempt attempt, Optional<Choice> choice) {
		if (!this.serving.waitsFor(attempt) || !silent(Clock.millis(), attempt)) {
			return;
		}
		if (choice.isEmpty()) {
			keep(attempt, "no replica");
		}
		else if (!this.gateway.decisions().spendRetry()) {
			keep(attempt, "no retry left");
		}
		else {
			this.gateway.telemetry().count("silent.replicas.left");
			this.gateway.log().silent(this.serving.id(), attempt.choice().replica().id(), "left", "");
			this.serving.move(attempt, choice.get());
		}
	}

	/**
	 * Stays where nothing could follow. The replica counts as failing all the same, so
	 * that it gets no more requests.
	 */
	private void keep(Attempt attempt, String why) {
		if (this.kept != attempt) {
			this.kept = attempt;
			this.gateway.decisions().picker().silent(Clock.millis(), attempt.choice().replica());
			this.gateway.telemetry().count("silent.replicas.kept");
			this.gateway.log().silent(this.serving.id(), attempt.choice().replica().id(), "kept", why);
		}
	}

	/**
	 * Says why a silent replica is waited for all the same, empty if it need not be.
	 */
	private String whyKept(Set<ReplicaId> tried) {
		if (!mayGoOn()) {
			return "no way to go on with the answer";
		}
		return this.replicas.another(tried) ? "" : "no replica";
	}

	/**
	 * Says whether another replica could go on with what the caller has.
	 */
	boolean mayGoOn() {
		boolean held = !this.relay.begun() || (this.serving.route().resumable() && this.relay.lastEvent().isPresent());
		return held && this.gateway.crashes().refusedFor(this.serving) <= 0;
	}

	/**
	 * One that answers others is alive, and only busy: moved away, its queue would be
	 * built up anew elsewhere.
	 */
	private boolean silent(long now, Attempt attempt) {
		long patience = this.gateway.decisions().silenceMillis(this.serving.route(), this.relay.begun());
		long since = this.gateway.stalls().silentSince(attempt.lastByteAt());
		if (this.serving.route().kind() == RouteKind.IDEMPOTENT) {
			return now - since > patience;
		}
		return this.gateway.decisions()
			.picker()
			.unresponsive(now, attempt.choice(), since, attempt.answer() == null, patience);
	}

}
