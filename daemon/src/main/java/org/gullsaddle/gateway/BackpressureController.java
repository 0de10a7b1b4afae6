package org.gullsaddle.gateway;

import java.util.OptionalDouble;
import java.util.Set;

import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.serve.BackpressureBook;
import org.gullsaddle.telemetry.Telemetry;

/**
 * Takes in how replicas ask for fewer requests, and tells operators of it. Confined to
 * the event loop.
 */
final class BackpressureController {

	private final BackpressureBook book;

	private final DecisionLog log;

	private final Telemetry telemetry;

	BackpressureController(BackpressureBook book, DecisionLog log, Telemetry telemetry) {
		this.book = book;
		this.log = log;
		this.telemetry = telemetry;
		telemetry.gauge("replicas.limited", this.book::countLimited);
	}

	BackpressureBook book() {
		return this.book;
	}

	/**
	 * Takes in the head of an answer. One that says that it was meant for another replica
	 * tells nothing of the replica that was asked.
	 */
	void heard(Replica replica, ReplicaAnswer answer) {
		if (answer.status() == Statuses.MISDIRECTED) {
			return;
		}
		if (this.book.heard(Clock.millis(), replica, answer.backpressure())) {
			OptionalDouble limit = this.book.limit(replica);
			this.log.limited(replica.id(), limit);
			this.telemetry.count(limit.isPresent() ? "replica.limits.named" : "replica.limits.ended");
		}
	}

	/**
	 * Says whether a replica may be asked for its load.
	 */
	boolean mayAsk(Replica replica) {
		return this.book.mayAsk(replica);
	}

	/**
	 * Forgets replicas that are gone.
	 */
	void retain(Set<ReplicaId> known) {
		this.book.retain(known);
	}

}
