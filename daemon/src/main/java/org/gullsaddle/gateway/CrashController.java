package org.gullsaddle.gateway;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongConsumer;
import java.util.random.RandomGenerator;

import io.vertx.core.Vertx;

import org.gullsaddle.base.Json;
import org.gullsaddle.fleet.FleetChange;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.serve.AttemptEnd;
import org.gullsaddle.store.Store;
import org.gullsaddle.suspect.Crash;
import org.gullsaddle.suspect.CrashDetector;
import org.gullsaddle.suspect.CrashNote;
import org.gullsaddle.suspect.CrashTracker;
import org.gullsaddle.suspect.Trait;
import org.gullsaddle.telemetry.Telemetry;

/**
 * Detects requests that crash their replicas, checks at once whether a replica is dead
 * when its connections break, and shares crash evidence with peers by a note. Confined to
 * the event loop.
 */
final class CrashController {

	static final String NOTE_PREFIX = "gullsaddle/crashes/";

	/**
	 * How long crashes are collected before a note is written, in milliseconds: the
	 * failure of a rack is one note.
	 */
	private static final long COLLECT_MILLIS = 200;

	/**
	 * Time per node, in milliseconds, over which nodes spread notes that several of them
	 * may write.
	 */
	private static final long SPREAD_PER_NODE_MILLIS = 4;

	/**
	 * Delay before a note that may not have been written is written again, in
	 * milliseconds.
	 */
	private static final long RETRY_DELAY_MILLIS = 1000;

	/**
	 * Delay from a broken connection to the liveness check of the replica, in
	 * milliseconds: by then all connections that broke at the same moment are known.
	 */
	private static final long LIVENESS_CHECK_DELAY_MILLIS = 50;

	/**
	 * Delay to a second check, after which an answer without a length counts as complete,
	 * in milliseconds: a crashing replica may still accept a connection at first.
	 */
	private static final long SECOND_CHECK_DELAY_MILLIS = 500;

	/**
	 * How long an answer must go on until the request counts as sound for its engine
	 * while it runs, in milliseconds.
	 */
	private static final long MIN_SOUND_ANSWER_MILLIS = 500;

	private final Vertx vertx;

	private final ChannelPool pool;

	private final SharedRoutingState routingState;

	private final NodeRegistry nodeRegistry;

	private final DecisionLog log;

	private final Telemetry telemetry;

	private final String key;

	private final NodeNoteWriter note;

	private final CrashTrials trials;

	private final CrashDetector crashDetector = new CrashDetector();

	private final CrashTracker crashTracker = new CrashTracker();

	/** Processes whose liveness is being checked. */
	private final Set<String> livenessChecks = new HashSet<>();

	private final RandomGenerator random = RandomGenerator.getDefault();

	private boolean hasWritten;

	private boolean noteScheduled;

	private boolean spreadScheduled;

	CrashController(Vertx vertx, Store store, String node, ChannelPool pool, SharedRoutingState routingState,
			NodeRegistry nodeRegistry, DecisionLog log, Telemetry telemetry) {
		this.vertx = vertx;
		this.pool = pool;
		this.routingState = routingState;
		this.nodeRegistry = nodeRegistry;
		this.log = log;
		this.telemetry = telemetry;
		this.key = NOTE_PREFIX + node;
		this.note = new NodeNoteWriter(store, this.key);
		this.trials = new CrashTrials(store, node, this.crashTracker, log, telemetry);
		telemetry.gauge("traits.refused", this.crashTracker::blockedCount);
	}

	CrashTracker crashTracker() {
		return this.crashTracker;
	}

	/**
	 * Returns whether crash notes of peers are awaited.
	 */
	boolean awaitsCrashNotes() {
		return this.crashTracker.isAwaitingNotes(MonotonicClock.millis());
	}

	/**
	 * Continues a request: at once, or if one of its traits is blocked, once it is
	 * decided whether the request is a trial.
	 * @param model the model that is to run it first
	 */
	void admit(ServedRequest request, String model, Runnable then) {
		List<Trait> traits = (this.crashTracker.blockedCount() > 0) ? request.traits(model) : List.of();
		if (!this.crashTracker.isBlocked(traits)) {
			then.run();
			return;
		}
		if (this.crashTracker.onRequest(MonotonicClock.millis(), traits)) {
			scheduleNote(COLLECT_MILLIS);
		}
		this.trials.requestTrial(request, traits, then);
	}

	/**
	 * Handles the head of any answer, also of one that says that the request was not run.
	 */
	void onAnswer(Attempt attempt) {
		if (!attempt.isMisdirected()) {
			onBytes(attempt.choice().replica());
		}
	}

	/**
	 * Handles bytes of a replica, which may have been taken for dead as it was silent.
	 */
	void onBytes(Replica replica) {
		if (this.crashDetector.onBytes(replica)) {
			this.crashTracker.onAlive(Crash.processName(replica), MonotonicClock.millis());
		}
	}

	/**
	 * Handles the head of an answer.
	 */
	void onHead(Attempt attempt) {
		Replica replica = attempt.choice().replica();
		this.crashTracker.onAlive(Crash.processName(replica), attempt.startedAt());
		onConfirmedWhole(this.crashDetector.onAnswer(replica, attempt.startedAt()));
	}

	/**
	 * Handles bytes of an answer's body.
	 */
	void onData(ServedRequest request, String model, Attempt attempt) {
		onBytes(attempt.choice().replica());
		if (attempt.checkBodyLasted(MIN_SOUND_ANSWER_MILLIS)) {
			this.crashTracker.onRunning(attempt, MonotonicClock.millis(), traits(request, model));
		}
	}

	/**
	 * Handles the end of an attempt.
	 * @param silentSince since when its replica has been silent, if for too long
	 */
	void onEnded(ServedRequest request, String model, Attempt attempt, AttemptEnd end, OptionalLong silentSince) {
		this.crashTracker.onRunEnded(attempt);
		switch (end) {
			case AttemptEnd.Broken broken -> {
				boolean lost = attempt.isConnectionLost() || attempt.hasEndedWithConnection();
				onEnded(request, model, attempt, silentSince,
						lost ? CrashDetector.EndKind.BROKEN : CrashDetector.EndKind.CANCELLED);
			}
			case AttemptEnd.Answered answered -> onAnswered(request, model, attempt, answered);
			case AttemptEnd.NotRun notRun -> onNotRun(attempt);
			case AttemptEnd.Withdrawn withdrawn ->
				onEnded(request, model, attempt, silentSince, CrashDetector.EndKind.CANCELLED);
			case AttemptEnd.Dropped dropped ->
				onEnded(request, model, attempt, silentSince, CrashDetector.EndKind.CANCELLED);
		}
	}

	private void onAnswered(ServedRequest request, String model, Attempt attempt, AttemptEnd.Answered answered) {
		if (answered.hasFailed()) {
			return;
		}
		if (attempt.hasEndedWithConnection()) {
			onEnded(request, model, attempt, OptionalLong.empty(), CrashDetector.EndKind.CLOSE_DELIMITED);
			boolean again = this.crashDetector.recordCloseDelimited(Trait.content(request.contentHash()));
			if (again || !this.crashTracker.hasSuccessWithEach(request.partTraits(model))) {
				checkLiveness(attempt.choice().replica());
			}
		}
		else {
			recordSound(traits(request, model));
		}
	}

	private void onEnded(ServedRequest request, String model, Attempt attempt, OptionalLong silentSince,
			CrashDetector.EndKind manner) {
		Replica replica = attempt.choice().replica();
		this.crashDetector
			.onAttemptEnd(MonotonicClock.millis(), replica, attempt.startedAt(), silentSince, manner,
					request.traits(model))
			.ifPresent((crash) -> onCrash(crash, "more that ran there"));
		if (manner == CrashDetector.EndKind.BROKEN) {
			checkLiveness(replica);
		}
	}

	/**
	 * Handles an attempt that was not run. A connection that is refused, or accepted by
	 * another process, shows that the replica is dead.
	 */
	private void onNotRun(Attempt attempt) {
		Replica replica = attempt.choice().replica();
		if (attempt.isConnectionRefused()) {
			onProcessGone(replica.id(), "refuses connections");
		}
		else if (attempt.isMisdirected()) {
			onProcessGone(replica.id(), "another process has its address");
		}
	}

	private void checkLiveness(Replica replica) {
		String process = Crash.processName(replica);
		if (!this.livenessChecks.add(process)) {
			return;
		}
		connectAfter(LIVENESS_CHECK_DELAY_MILLIS, replica, (askedAt) -> {
			if (this.crashDetector.hasUnconfirmedAnswers(replica)) {
				connectAfter(SECOND_CHECK_DELAY_MILLIS, replica, (again) -> {
					this.livenessChecks.remove(process);
					onConfirmedWhole(this.crashDetector.onConnectionAccepted(replica, askedAt));
				});
			}
			else {
				this.livenessChecks.remove(process);
			}
		});
	}

	/**
	 * Checks after a delay whether a replica accepts a connection.
	 * @param accepted receives the time of the check, if it does
	 */
	private void connectAfter(long millis, Replica replica, LongConsumer accepted) {
		this.vertx.setTimer(millis, (timer) -> {
			long askedAt = MonotonicClock.millis();
			this.pool.acquire(replica, true).onComplete((channel, failure) -> {
				if (failure == null) {
					channel.close();
					accepted.accept(askedAt);
					return;
				}
				this.livenessChecks.remove(Crash.processName(replica));
				if (ChannelPool.isConnectionRefused(failure)) {
					this.routingState.replicaSelector().onUnreachable(MonotonicClock.millis(), replica);
					onProcessGone(replica.id(), "refuses connections");
				}
			});
		});
	}

	/**
	 * Handles that answers without a length turned out to be complete.
	 */
	private void onConfirmedWhole(Set<Trait> traits) {
		if (!traits.isEmpty()) {
			recordSound(List.copyOf(traits));
		}
	}

	/**
	 * Decides on suspects and schedules notes; called several times a second.
	 */
	void check(long now) {
		logBlocked(this.crashTracker.reevaluate(now), "this node");
		if (this.crashTracker.hasUnreportedBlocks() && !this.spreadScheduled) {
			// Peers find out the same at the same time; one of them writes the note.
			this.spreadScheduled = true;
			this.vertx.setTimer(spreadMillis(), (timer) -> {
				this.spreadScheduled = false;
				if (this.crashTracker.hasUnreportedBlocks()) {
					scheduleNote(1);
				}
			});
		}
	}

	private long spreadMillis() {
		return 1 + this.random.nextLong(SPREAD_PER_NODE_MILLIS * this.nodeRegistry.knownCount().orElse(1));
	}

	/**
	 * Handles a change of the deployment or a peer's note.
	 */
	void onFleetChange(FleetChange change) {
		switch (change) {
			case FleetChange.Unlisted unlisted -> this.crashDetector.onUnlisted(MonotonicClock.millis(), unlisted.id())
				.ifPresent((crash) -> onCrash(crash, "is not listed any more"));
			case FleetChange.Listed listed -> this.crashDetector.onListed(MonotonicClock.millis(), listed.replica())
				.ifPresent((crash) -> onCrash(crash, "another process has its id"));
			case FleetChange.NoteWritten noted -> {
				// A note that an earlier process of this node wrote is new to this one.
				boolean own = noted.key().equals(this.key);
				if (noted.key().startsWith(NOTE_PREFIX) && !(own && this.hasWritten)) {
					onPeerNote(noted, own);
				}
			}
			default -> {
			}
		}
	}

	private void onProcessGone(ReplicaId replica, String how) {
		this.crashDetector.onDead(MonotonicClock.millis(), replica).ifPresent((crash) -> onCrash(crash, how));
	}

	private void onCrash(Crash crash, String how) {
		long now = MonotonicClock.millis();
		this.log.replicaEnded(crash, now, how);
		this.telemetry.count("replicas.ended.under.work");
		logBlocked(this.crashTracker.onCrash(now, crash), "this node");
		scheduleNote(COLLECT_MILLIS);
	}

	private void recordSound(List<Trait> traits) {
		long now = MonotonicClock.millis();
		List<Trait> cleared = this.crashTracker.onSuccess(now, traits);
		cleared.forEach((trait) -> this.log.traitUnblocked(trait, "this node"));
		if (!cleared.isEmpty()) {
			scheduleNote(COLLECT_MILLIS);
		}
		else if (this.crashTracker.shouldReportSuccess(traits)) {
			scheduleNote(COLLECT_MILLIS + spreadMillis());
		}
	}

	/**
	 * Returns the request's traits; skips hashing the content while no crash is known.
	 */
	private List<Trait> traits(ServedRequest request, String model) {
		return this.crashTracker.hasCrashEvidence() ? request.traits(model) : request.partTraits(model);
	}

	private void onPeerNote(FleetChange.NoteWritten noted, boolean own) {
		try {
			CrashNote crashNote = Json.read(noted.value(), CrashNote.class);
			long now = MonotonicClock.millis();
			long timeOfDay = System.currentTimeMillis();
			CrashTracker.NoteEffect learned = own ? this.crashTracker.onOwnNote(now, timeOfDay, crashNote)
					: this.crashTracker.onNote(now, timeOfDay, crashNote);
			logBlocked(learned.blocked(), noted.key());
			learned.unblocked().forEach((trait) -> this.log.traitUnblocked(trait, noted.key()));
			if (this.crashTracker.hasReportedAnyBlocked(learned.unblocked())) {
				scheduleNote(COLLECT_MILLIS + spreadMillis());
			}
		}
		catch (IOException ex) {
			this.log.unreadableRecord(noted.key(), ex.getMessage());
		}
	}

	private void logBlocked(List<Trait> traits, String source) {
		traits.forEach((trait) -> this.log.traitBlocked(trait, this.crashTracker, source));
	}

	private void scheduleNote(long millis) {
		if (!this.noteScheduled) {
			this.noteScheduled = true;
			this.vertx.setTimer(millis, (timer) -> writeNote());
		}
	}

	private void writeNote() {
		this.noteScheduled = false;
		if (this.note.isBusy()) {
			scheduleNote(COLLECT_MILLIS);
			return;
		}
		Optional<CrashNote> crashNote = this.crashTracker.buildNote(MonotonicClock.millis(),
				System.currentTimeMillis());
		if (crashNote.isPresent()) {
			this.hasWritten = true;
			this.note.write(Json.write(crashNote.get()), () -> scheduleNote(RETRY_DELAY_MILLIS));
		}
	}

}
