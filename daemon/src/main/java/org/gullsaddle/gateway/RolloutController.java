package org.gullsaddle.gateway;

import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.vertx.core.Vertx;

import org.gullsaddle.base.Json;
import org.gullsaddle.fleet.FleetChange;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.RolloutState;
import org.gullsaddle.fleet.ServiceName;
import org.gullsaddle.serve.AnswerKind;
import org.gullsaddle.serve.AttemptEnd;
import org.gullsaddle.serve.Rollout;
import org.gullsaddle.serve.RolloutNote;
import org.gullsaddle.serve.RolloutProgress;
import org.gullsaddle.serve.RolloutTurns;
import org.gullsaddle.store.Store;

/**
 * Drives roll-outs: tells other nodes what this one saw, and writes the state when it is
 * due.
 * <p>
 * No node is elected for it. The state is written under the condition that it still has
 * the revision that the decision was made by, so that of several nodes that find it due
 * at once one succeeds, and a node that was frozen and wakes writes nothing.
 */
final class RolloutController {

	static final String NOTE_PREFIX = "gullsaddle/rollouts/";

	/** How often roll-outs are looked at, in milliseconds; spread out between nodes. */
	private static final long CHECK_INTERVAL_MILLIS = 200;

	/** How often a note is written while it changes, in milliseconds: each is a call. */
	private static final long MAX_NOTE_INTERVAL_MILLIS = 2000;

	/** The same as a part of a short roll-out's time. */
	private static final double NOTE_INTERVAL_RATIO = 0.06;

	/** New evidence that is told at once: that of a failure. */
	private static final double URGENT_EVIDENCE = 1;

	/** How long urgent notes are apart at least, in milliseconds. */
	private static final long MIN_URGENT_INTERVAL_MILLIS = 400;

	private final Vertx vertx;

	private final RolloutStateWriter board;

	private final Store store;

	private final String node;

	private final FleetState fleet;

	private final DecisionLog log;

	private final RandomGenerator random = RandomGenerator.getDefault();

	private final Set<ServiceName> writing = new HashSet<>();

	private final RolloutTurns turns;

	private final Map<String, ReportedNote> reportedNotes = new HashMap<>();

	/** What was reported last of each roll-out. */
	private final Map<String, LoggedShare> loggedShares = new HashMap<>();

	RolloutController(Vertx vertx, RolloutStateWriter board, Store store, String node, FleetState fleet,
			DecisionLog log) {
		this.vertx = vertx;
		this.board = board;
		this.store = store;
		this.node = node;
		this.turns = new RolloutTurns(node);
		this.fleet = fleet;
		this.log = log;
	}

	void start() {
		this.vertx.setTimer(CHECK_INTERVAL_MILLIS + this.random.nextLong(CHECK_INTERVAL_MILLIS), (timer) -> {
			this.fleet.rollouts().forEach(this::check);
			start();
		});
	}

	/**
	 * Notes that a request was sent to a replica.
	 */
	void recordSent(Replica replica) {
		this.fleet.rollout(replica.service()).ifPresent((rollout) -> rollout.sent(replica));
	}

	/**
	 * Takes in the head of a replica's answer. An answer that is lost on the way says
	 * nothing of the release; only a failure that the replica itself reports does, and
	 * that stands in the head.
	 * @param kind the route, and the model that answers
	 */
	void onAnswer(AnswerKind kind, Attempt attempt, ReplicaAnswer answer) {
		Replica replica = attempt.choice().replica();
		this.fleet.rollout(replica.service()).ifPresent((rollout) -> {
			answer.load()
				.ifPresent((load) -> rollout.told(MonotonicClock.millis(), replica, load, attempt.startedAt()));
			rollout.answered(replica, kind, new AttemptEnd.Answered(answer.status()).failure(), attempt.startedAt(),
					attempt.headAt() - attempt.startedAt());
		});
	}

	/**
	 * Notes that a replica could not be reached.
	 */
	void onUnreachable(Replica replica) {
		this.fleet.rollout(replica.service()).ifPresent((rollout) -> rollout.unreachable(replica));
	}

	/**
	 * Notes that a request came for a service.
	 */
	void recordRequest(ServedRequest request) {
		this.fleet.rollout(request.service()).ifPresent((rollout) -> rollout.asked(request.releaseKey()));
	}

	/**
	 * Takes in another node's note.
	 */
	void onFleetChange(FleetChange change) {
		if (!(change instanceof FleetChange.Noted noted) || !noted.key().startsWith(NOTE_PREFIX)) {
			return;
		}
		for (Rollout rollout : this.fleet.rollouts()) {
			if (noted.key().startsWith(prefix(rollout)) && !noted.key().equals(key(rollout))) {
				onPeerNote(rollout, noted);
			}
		}
	}

	private void onPeerNote(Rollout rollout, FleetChange.Noted noted) {
		try {
			rollout.learn(MonotonicClock.millis(), Json.read(noted.value(), RolloutNote.class));
		}
		catch (IOException ex) {
			this.log.unreadableRecord(noted.key(), ex.getMessage());
		}
	}

	private void check(Rollout rollout) {
		long now = MonotonicClock.millis();
		rollout.look(now, this.fleet.ageMillis(now));
		logShareIfChanged(rollout, rollout.progress(now));
		rollout.due(now)
			.filter((state) -> this.turns.mine(now, rollout, state))
			.ifPresent((state) -> write(rollout, state));
		if (rollout.state().equals(Optional.of(RolloutState.RUNNING))) {
			writeNoteIfDue(rollout, now);
		}
	}

	private void write(Rollout rollout, RolloutState state) {
		ServiceName service = rollout.order().service();
		if (!this.writing.add(service)) {
			return;
		}
		this.board.write(rollout.order(), state, rollout.stateRevision()).subscribe((written) -> {
			this.writing.remove(service);
			this.turns.answered(MonotonicClock.millis(), rollout, state);
			logStateWrite(rollout, state, written ? "written" : "another node was first");
		}, (failure) -> {
			this.writing.remove(service);
			logStateWrite(rollout, state, "not answered: " + failure.getMessage());
		});
	}

	private void logStateWrite(Rollout rollout, RolloutState state, String outcome) {
		this.log.rolloutStateWritten(rollout.order().service().value(), rollout.order().target(), state.name(),
				rollout.evidence(), rollout.answers(), outcome);
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
		last.lowestEvidence = Math.min(last.lowestEvidence, note.evidence());
		boolean urgent = note.evidence() - last.lowestEvidence >= URGENT_EVIDENCE
				&& now - last.writtenAt >= MIN_URGENT_INTERVAL_MILLIS;
		boolean news = note.provedMillis() != last.provedMillis;
		long every = Math.min(MAX_NOTE_INTERVAL_MILLIS,
				Math.round(NOTE_INTERVAL_RATIO * rollout.order().durationMillis()));
		boolean due = news || (note.answers() != last.answers && now - last.writtenAt >= every);
		if (last.writer.isBusy() || !(urgent || due)) {
			return;
		}
		last.writtenAt = now;
		last.lowestEvidence = note.evidence();
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

		/** The least evidence since the last note: what has risen since is news. */
		private double lowestEvidence;

		private int answers;

		private long provedMillis;

		ReportedNote(Store store, String key) {
			this.writer = new NodeNoteWriter(store, key);
		}

	}

}
