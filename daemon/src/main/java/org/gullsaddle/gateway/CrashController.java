package org.gullsaddle.gateway;

import java.io.IOException;
import java.util.List;

import io.vertx.core.Vertx;

import org.gullsaddle.base.Fingerprint;
import org.gullsaddle.base.Json;
import org.gullsaddle.fleet.FleetChange;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.serve.AttemptEnd;
import org.gullsaddle.serve.CrashNote;
import org.gullsaddle.serve.CrashWatch;
import org.gullsaddle.store.Store;
import org.gullsaddle.telemetry.Telemetry;

/**
 * Watches for requests that crash their replicas, and tells the other nodes by a note.
 */
final class CrashController {

	static final String NOTES = "gullsaddle/crashes/";

	/**
	 * How long crashes are gathered before they are told, in milliseconds: the failure of
	 * a rack is one note.
	 */
	private static final long GATHER_MILLIS = 200;

	/** When a note is written again that the store may not have, in milliseconds. */
	private static final long AGAIN_MILLIS = 1000;

	private final Vertx vertx;

	private final DecisionLog log;

	private final Telemetry telemetry;

	private final String key;

	private final NodeNote note;

	private final CrashWatch watch = new CrashWatch();

	private boolean due;

	CrashController(Vertx vertx, Store store, String node, DecisionLog log, Telemetry telemetry) {
		this.vertx = vertx;
		this.log = log;
		this.telemetry = telemetry;
		this.key = NOTES + node;
		this.note = new NodeNote(store, this.key);
	}

	/**
	 * Notes how an attempt ended.
	 */
	void ended(Serving serving, Replica replica, AttemptEnd end) {
		switch (end) {
			case AttemptEnd.Broken broken -> this.watch.broke(Clock.millis(), replica, serving.request().content());
			case AttemptEnd.Answered answered -> {
				if (this.watch.any()) {
					this.watch.answered(serving.request().content());
				}
			}
			case AttemptEnd.NotRun notRun -> {
				if (notRun.unreachable()) {
					suspected(replica.id(), "refuses connections", this.watch.down(Clock.millis(), replica.id()));
				}
			}
			case AttemptEnd.Withdrawn withdrawn -> {
			}
			case AttemptEnd.Dropped dropped -> {
			}
		}
	}

	/**
	 * Takes in a change of the deployment, or another node's note.
	 */
	void learned(FleetChange change) {
		switch (change) {
			case FleetChange.Unlisted unlisted ->
				suspected(unlisted.id(), "is not listed any more", this.watch.down(Clock.millis(), unlisted.id()));
			case FleetChange.Listed listed -> {
				ReplicaId id = listed.replica().id();
				suspected(id, "another process has its id", this.watch.listed(Clock.millis(), listed.replica()));
			}
			case FleetChange.Noted noted -> {
				if (noted.key().startsWith(NOTES) && !noted.key().equals(this.key)) {
					learn(noted);
				}
			}
			default -> {
			}
		}
	}

	/**
	 * Returns how long a request is refused for the crashes of its content.
	 * @return milliseconds, 0 if it may run
	 */
	long refusedFor(Serving serving) {
		long millis = this.watch.any() ? this.watch.refusedFor(Clock.millis(), serving.request().content()) : 0;
		if (millis > 0) {
			this.telemetry.count("refused.for.crashes");
		}
		return millis;
	}

	private void learn(FleetChange.Noted noted) {
		try {
			this.watch.learn(Clock.millis(), Json.read(noted.value(), CrashNote.class));
		}
		catch (IOException ex) {
			this.log.unreadable(noted.key(), ex.getMessage());
		}
	}

	private void suspected(ReplicaId replica, String how, List<Fingerprint> contents) {
		if (!contents.isEmpty()) {
			this.log.replicaEnded(replica, how);
			this.telemetry.count("replicas.ended.under.work");
		}
		contents.forEach((content) -> this.log.suspected(content, replica));
		if (!contents.isEmpty()) {
			tellIn(GATHER_MILLIS);
		}
	}

	private void tellIn(long millis) {
		if (!this.due) {
			this.due = true;
			this.vertx.setTimer(millis, (timer) -> tell());
		}
	}

	private void tell() {
		this.due = false;
		if (this.note.busy()) {
			tellIn(GATHER_MILLIS);
			return;
		}
		CrashNote told = this.watch.note(Clock.millis());
		if (!told.crashes().isEmpty()) {
			this.note.write(Json.write(told), () -> tellIn(AGAIN_MILLIS));
		}
	}

}
