package org.gullsaddle.gateway;

import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;

import org.gullsaddle.base.Json;
import org.gullsaddle.fleet.FleetChange;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.RolloutState;
import org.gullsaddle.fleet.ServiceName;
import org.gullsaddle.serve.AnswerKind;
import org.gullsaddle.serve.AttemptEnd;
import org.gullsaddle.serve.ReplicaSelector;
import org.gullsaddle.serve.Rollout;
import org.gullsaddle.serve.RolloutNote;
import org.gullsaddle.serve.RolloutProgress;
import org.gullsaddle.serve.RolloutWriteSchedule;
import org.gullsaddle.store.Store;

/**
 * Drives roll-outs: shares this node's evidence with its peers and writes a roll-out's
 * state when a change is due.
 * <p>
 * No node is elected. The state is written on the condition that it still has the
 * revision on which the decision was based, so that only one of several nodes succeeds,
 * and a node that resumes after a freeze writes nothing.
 */
final class RolloutController {

	static final String NOTE_PREFIX = "gullsaddle/rollouts/";

	/**
	 * Interval at which roll-outs are checked, in milliseconds; jitter spreads it between
	 * nodes.
	 */
	private static final long CHECK_INTERVAL_MILLIS = 200;

	/**
	 * Longest interval between notes that change, in milliseconds: each is a call to the
	 * store.
	 */
	private static final long MAX_NOTE_INTERVAL_MILLIS = 2000;

	/** Interval between notes relative to the duration of a short roll-out. */
	private static final double NOTE_INTERVAL_RATIO = 0.06;

	/** Evidence that is shared at once: that of one failure. */
	private static final double URGENT_EVIDENCE = 1;

	/** Shortest interval between urgent notes, in milliseconds. */
	private static final long MIN_URGENT_INTERVAL_MILLIS = 400;

	private final Vertx vertx;

	private final RolloutStateWriter stateWriter;

	private final Store store;

	private final String node;

	private final FleetState fleet;

	private final ReplicaSelector replicaSelector;

	private final DecisionLog log;

	private final StepGuard guard;

	private final RandomGenerator random = RandomGenerator.getDefault();

	private final Set<ServiceName> writing = new HashSet<>();

	private final RolloutWriteSchedule writeSchedule;

	private final Map<String, ReportedNote> reportedNotes = new HashMap<>();

	/** Share that was last logged for each roll-out. */
	private final Map<String, LoggedShare> loggedShares = new HashMap<>();

	RolloutController(Vertx vertx, RolloutStateWriter stateWriter, Store store, String node, FleetState fleet,
			ReplicaSelector replicaSelector, DecisionLog log, StepGuard guard) {
		this.vertx = vertx;
		this.stateWriter = stateWriter;
		this.store = store;
		this.node = node;
		this.writeSchedule = new RolloutWriteSchedule(node);
		this.fleet = fleet;
		this.replicaSelector = replicaSelector;
		this.log = log;
		this.guard = guard;
	}

	void start() {
		this.vertx.setTimer(CHECK_INTERVAL_MILLIS + this.random.nextLong(CHECK_INTERVAL_MILLIS), (timer) -> {
			this.fleet.rollouts().forEach((rollout) -> this.guard.run("roll-out check", () -> check(rollout)));
			start();
		});
	}

	/**
	 * Drops what was logged and reported of roll-outs that newer ones have replaced.
	 */
	void cleanUp() {
		Set<String> current = this.fleet.rollouts().stream().map(this::key).collect(Collectors.toSet());
		this.loggedShares.keySet().retainAll(current);
		this.reportedNotes.entrySet()
			.removeIf((each) -> !current.contains(each.getKey()) && !each.getValue().writer.isBusy());
	}

	/**
	 * Records that a request was sent to a replica.
	 */
	void recordSent(Replica replica) {
		this.fleet.rollout(replica.service()).ifPresent((rollout) -> rollout.recordSent(replica));
	}

	/**
	 * Handles the head of a replica's answer. An answer lost on the way says nothing
	 * about the release; only a failure that the replica itself reports does, and that is
	 * in the head.
	 * @param kind the route and the model that answers
	 */
	void onAnswer(AnswerKind kind, Attempt attempt, ReplicaAnswer answer) {
		Replica replica = attempt.choice().replica();
		this.fleet.rollout(replica.service()).ifPresent((rollout) -> {
			answer.load()
				.ifPresent(
						(load) -> rollout.onLoadReported(MonotonicClock.millis(), replica, load, attempt.startedAt()));
			rollout.onAnswerStarted(replica, kind, new AttemptEnd.Answered(answer.status()).hasFailed(),
					attempt.startedAt(), attempt.headAt() - attempt.startedAt(), this.replicaSelector
						.expectedMillisWithout(rollout.order().target(), attempt.choice(), kind.model()));
		});
	}

	/**
	 * Handles that a replica could not be reached.
	 */
	void onUnreachable(Replica replica) {
		this.fleet.rollout(replica.service()).ifPresent((rollout) -> rollout.recordUnreachable(replica));
	}

	/**
	 * Records the arrival of a request for a service.
	 */
	void recordRequest(ServedRequest request) {
		this.fleet.rollout(request.service()).ifPresent((rollout) -> rollout.recordRequest(request.releaseKey()));
	}

	/**
	 * Handles a peer's note.
	 */
	void onFleetChange(FleetChange change) {
		if (!(change instanceof FleetChange.NoteWritten noted) || !noted.key().startsWith(NOTE_PREFIX)) {
			return;
		}
		for (Rollout rollout : this.fleet.rollouts()) {
			if (noted.key().startsWith(prefix(rollout)) && !noted.key().equals(key(rollout))) {
				onPeerNote(rollout, noted);
			}
		}
	}

	private void onPeerNote(Rollout rollout, FleetChange.NoteWritten noted) {
		try {
			rollout.onNote(MonotonicClock.millis(), Json.read(noted.value(), RolloutNote.class));
		}
		catch (IOException ex) {
			this.log.unreadableRecord(noted.key(), ex.getMessage());
		}
	}

	private void check(Rollout rollout) {
		long now = MonotonicClock.millis();
		rollout.update(now, this.fleet.ageMillis(now));
		logShareIfChanged(rollout, rollout.progress(now));
		rollout.findDueState(now)
			.filter((state) -> this.writeSchedule.isWriteDue(now, rollout, state))
			.ifPresent((state) -> write(rollout, state));
		if (rollout.writtenState().equals(Optional.of(RolloutState.RUNNING))) {
			writeNoteIfDue(rollout, now);
		}
	}

	private void write(Rollout rollout, RolloutState state) {
		ServiceName service = rollout.order().service();
		if (!this.writing.add(service)) {
			return;
		}
		Single.defer(() -> this.stateWriter.write(rollout.order(), state, rollout.stateRevision()))
			.subscribe((written) -> {
				this.writing.remove(service);
				this.writeSchedule.onWriteAnswered(MonotonicClock.millis(), rollout, state);
				logStateWrite(rollout, state, written ? "written" : "another node was first");
			}, (failure) -> {
				this.writing.remove(service);
				logStateWrite(rollout, state, "not answered: " + failure.getMessage());
			});
	}

	private void logStateWrite(Rollout rollout, RolloutState state, String outcome) {
		this.log.rolloutStateWritten(MonotonicClock.millis(), rollout, state, outcome);
	}

	private void logShareIfChanged(Rollout rollout, RolloutProgress progress) {
		LoggedShare shown = new LoggedShare(progress.share(), progress.provedMillis());
		if (!shown.equals(this.loggedShares.put(key(rollout), shown))) {
			this.log.rolloutShare(rollout, progress);
		}
	}

	private void writeNoteIfDue(Rollout rollout, long now) {
		ReportedNote last = this.reportedNotes.computeIfAbsent(key(rollout),
				(key) -> new ReportedNote(this.store, key));
		RolloutNote note = rollout.note(now, this.node);
		last.lowestEvidence = Math.min(last.lowestEvidence, note.urgentEvidence());
		boolean urgent = note.urgentEvidence() - last.lowestEvidence >= URGENT_EVIDENCE
				&& now - last.writtenAt >= MIN_URGENT_INTERVAL_MILLIS;
		boolean newlyProved = note.provedMillis() != last.provedMillis;
		long intervalMillis = Math.min(MAX_NOTE_INTERVAL_MILLIS,
				Math.round(NOTE_INTERVAL_RATIO * rollout.order().durationMillis()));
		boolean due = newlyProved || (note.answers() != last.answers && now - last.writtenAt >= intervalMillis);
		if (last.writer.isBusy() || !(urgent || due)) {
			return;
		}
		last.writtenAt = now;
		last.lowestEvidence = note.urgentEvidence();
		last.answers = note.answers();
		last.provedMillis = note.provedMillis();
		last.writer.write(Json.write(note), () -> last.answers = -1);
	}

	private String prefix(Rollout rollout) {
		return NOTE_PREFIX + rollout.order().service() + '/' + rollout.order().target() + '/';
	}

	private String key(Rollout rollout) {
		return prefix(rollout) + this.node;
	}

	private record LoggedShare(double share, long provedMillis) {
	}

	private static final class ReportedNote {

		private final NodeNoteWriter writer;

		private long writtenAt;

		/** Lowest evidence since the last note; a rise above it is new. */
		private double lowestEvidence;

		private int answers;

		private long provedMillis;

		ReportedNote(Store store, String key) {
			this.writer = new NodeNoteWriter(store, key);
		}

	}

}
