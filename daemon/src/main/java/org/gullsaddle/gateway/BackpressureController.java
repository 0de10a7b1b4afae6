package org.gullsaddle.gateway;

import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.vertx.core.Vertx;

import org.gullsaddle.base.Json;
import org.gullsaddle.fleet.FleetChange;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.serve.BackpressureTable;
import org.gullsaddle.serve.LimitNote;
import org.gullsaddle.serve.LimitNoteExchange;
import org.gullsaddle.store.Store;
import org.gullsaddle.telemetry.Telemetry;

/**
 * Handles replicas' rate limits, back-offs and announcements that they leave; shares rate
 * limits with peers by notes in the store and logs all of it. Confined to the event loop.
 */
final class BackpressureController {

	static final String NOTE_PREFIX = "gullsaddle/limits/";

	/**
	 * Delay before a note that may not have been written is written again, in
	 * milliseconds: by then a competing note of a peer is known.
	 */
	private static final long RETRY_DELAY_MILLIS = 2000;

	private final Vertx vertx;

	private final Store store;

	private final FleetState fleet;

	private final BackpressureTable backpressureTable;

	private final LimitNoteExchange limitNoteExchange;

	private final DecisionLog log;

	private final Telemetry telemetry;

	private final Map<ReplicaId, NodeNoteWriter> notes = new HashMap<>();

	/** Replicas for which a note is scheduled. */
	private final Set<ReplicaId> scheduled = new HashSet<>();

	BackpressureController(Vertx vertx, Store store, FleetState fleet, BackpressureTable table, DecisionLog log,
			Telemetry telemetry) {
		this.vertx = vertx;
		this.store = store;
		this.fleet = fleet;
		this.backpressureTable = table;
		this.limitNoteExchange = new LimitNoteExchange(table, RandomGenerator.getDefault());
		this.log = log;
		this.telemetry = telemetry;
		telemetry.gauge("replicas.limited", this.backpressureTable::countLimited);
		telemetry.gauge("replicas.resting", () -> this.backpressureTable.countBackingOff(MonotonicClock.millis()));
	}

	BackpressureTable backpressureTable() {
		return this.backpressureTable;
	}

	/**
	 * Handles the head of an answer. A misdirected one says nothing about the replica
	 * that was asked.
	 */
	void onAnswer(Replica replica, ReplicaAnswer answer) {
		if (answer.status() != HttpStatuses.MISDIRECTED) {
			if (answer.leaving() && this.fleet.directory().onLeaving(MonotonicClock.millis(), replica)) {
				this.log.replicaLeaving(replica.id());
				this.telemetry.count("replica.leavings.told");
			}
			if (answer.backpressure().backOffMillis() > 0) {
				this.log.backoffRequested(replica.id(), answer.backpressure().backOffMillis());
				this.telemetry.count("replica.rests.asked");
			}
			applyAndLog(replica, "answer",
					() -> this.limitNoteExchange.onAnswer(MonotonicClock.millis(), replica, answer.backpressure())
						.ifPresent((millis) -> scheduleNote(millis, replica.id())));
		}
	}

	/**
	 * Handles a change of the deployment or a peer's note.
	 */
	void onFleetChange(FleetChange change) {
		if (change instanceof FleetChange.Listed listed) {
			onListed(listed.replica());
		}
		else if (change instanceof FleetChange.NoteWritten noted && noted.key().startsWith(NOTE_PREFIX)) {
			onPeerNote(noted);
		}
	}

	private void onListed(Replica replica) {
		applyAndLog(replica, "note", () -> this.limitNoteExchange.onReplicaListed(MonotonicClock.millis(), replica));
	}

	private void onPeerNote(FleetChange.NoteWritten noted) {
		try {
			ReplicaId id = new ReplicaId(noted.key().substring(NOTE_PREFIX.length()));
			Optional<Replica> listed = this.fleet.directory().find(id);
			LimitNote note = Json.read(noted.value(), LimitNote.class);
			Runnable update = () -> this.limitNoteExchange.onNote(MonotonicClock.millis(), id, note, listed)
				.ifPresent((millis) -> this.vertx.setTimer(millis,
						(timer) -> this.fleet.directory().find(id).ifPresent(this::onListed)));
			listed.ifPresentOrElse((replica) -> applyAndLog(replica, "note", update), update);
		}
		catch (IOException | IllegalArgumentException ex) {
			this.log.unreadableRecord(noted.key(), ex.getMessage());
		}
	}

	/**
	 * Runs an action that may change a replica's rate limit, and logs the change.
	 */
	private void applyAndLog(Replica replica, String source, Runnable change) {
		OptionalDouble before = this.backpressureTable.limit(replica);
		change.run();
		OptionalDouble now = this.backpressureTable.limit(replica);
		if (!now.equals(before)) {
			this.log.rateLimitChanged(replica.id(), now, source);
			this.telemetry.count(now.isPresent() ? "replica.limits.named" : "replica.limits.ended");
		}
	}

	private void scheduleNote(long millis, ReplicaId id) {
		if (this.scheduled.add(id)) {
			this.vertx.setTimer(Math.max(1, millis), (timer) -> writeNote(id));
		}
	}

	private void writeNote(ReplicaId id) {
		this.scheduled.remove(id);
		NodeNoteWriter note = this.notes.computeIfAbsent(id,
				(key) -> new NodeNoteWriter(this.store, NOTE_PREFIX + key));
		if (note.isBusy()) {
			scheduleNote(RETRY_DELAY_MILLIS, id);
			return;
		}
		this.limitNoteExchange.findNoteToWrite(id).ifPresent((limitNote) -> note.write(Json.write(limitNote), () -> {
			this.limitNoteExchange.onWriteFailed(id);
			scheduleNote(RETRY_DELAY_MILLIS, id);
		}));
	}

	/**
	 * Returns whether a replica may be probed for its load.
	 */
	boolean canProbe(Replica replica) {
		return this.backpressureTable.canAskForLoad(MonotonicClock.millis(), replica)
				&& !this.fleet.directory().isLeaving(replica);
	}

	/**
	 * Removes the state of replicas that are no longer listed.
	 */
	void retain(Set<ReplicaId> known) {
		this.backpressureTable.retain(known);
		this.limitNoteExchange.retain(known);
		this.notes.keySet().retainAll(known);
	}

}
