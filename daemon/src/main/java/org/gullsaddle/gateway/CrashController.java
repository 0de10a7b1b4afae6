package org.gullsaddle.gateway;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
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
import org.gullsaddle.suspect.CrashBook;
import org.gullsaddle.suspect.CrashNote;
import org.gullsaddle.suspect.CrashWatch;
import org.gullsaddle.suspect.Trait;
import org.gullsaddle.telemetry.Telemetry;

/**
 * Watches for requests that crash their replicas, finds out at once whether a replica is
 * dead whose connections broke, and tells the other nodes by a note. Confined to the
 * event loop.
 */
final class CrashController {

	static final String NOTE_PREFIX = "gullsaddle/crashes/";

	/**
	 * How long crashes are gathered before they are told, in milliseconds: the failure of
	 * a rack is one note.
	 */
	private static final long COLLECT_MILLIS = 200;

	/**
	 * In what time for each node they tell what several may tell, in milliseconds.
	 */
	private static final long SPREAD_PER_NODE_MILLIS = 4;

	/** When a note is written again that the store may not have, in milliseconds. */
	private static final long RETRY_DELAY_MILLIS = 1000;

	/**
	 * How long after its connections broke a replica is asked whether it lives, in
	 * milliseconds: by then all that broke in the same moment is known.
	 */
	private static final long LIVENESS_CHECK_DELAY_MILLIS = 50;

	/**
	 * How much later it is asked again for an answer without a length to be whole, in
	 * milliseconds: one that dies of it may accept a connection before.
	 */
	private static final long SECOND_CHECK_DELAY_MILLIS = 500;

	/**
	 * How long an answer has gone on for its engine to have borne the request, in
	 * milliseconds.
	 */
	private static final long MIN_SOUND_ANSWER_MILLIS = 500;

	private final Vertx vertx;

	private final ChannelPool pool;

	private final SharedRoutingState decisions;

	private final NodeRegistry nodes;

	private final DecisionLog log;

	private final Telemetry telemetry;

	private final String key;

	private final NodeNoteWriter note;

	private final CrashTrials trials;

	private final CrashWatch watch = new CrashWatch();

	private final CrashBook crashTable = new CrashBook();

	/** The processes that are asked whether they live. */
	private final Set<String> livenessChecks = new HashSet<>();

	private final RandomGenerator random = RandomGenerator.getDefault();

	private boolean hasWritten;

	private boolean noteScheduled;

	private boolean spreadScheduled;

	CrashController(Vertx vertx, Store store, String node, ChannelPool pool, SharedRoutingState decisions,
			NodeRegistry nodes, DecisionLog log, Telemetry telemetry) {
		this.vertx = vertx;
		this.pool = pool;
		this.decisions = decisions;
		this.nodes = nodes;
		this.log = log;
		this.telemetry = telemetry;
		this.key = NOTE_PREFIX + node;
		this.note = new NodeNoteWriter(store, this.key);
		this.trials = new CrashTrials(store, node, this.crashTable, log, telemetry);
		telemetry.gauge("traits.refused", this.crashTable::countRefused);
	}

	CrashBook crashTable() {
		return this.crashTable;
	}

	/**
	 * Says whether others' news of crashes are awaited.
	 */
	boolean awaitsCrashNotes() {
		return this.crashTable.unsettled(MonotonicClock.millis());
	}

	/**
	 * Lets a request go on: at once, or once it is known whether it is let through to try
	 * a trait that is refused.
	 * @param model the model that is to run it first
	 */
	void admit(ServedRequest request, String model, Runnable then) {
		List<Trait> traits = (this.crashTable.countRefused() > 0) ? request.traits(model) : List.of();
		if (!this.crashTable.refuses(traits)) {
			then.run();
			return;
		}
		if (this.crashTable.seen(MonotonicClock.millis(), traits)) {
			scheduleNote(COLLECT_MILLIS);
		}
		this.trials.requestTrial(request, traits, then);
	}

	/**
	 * Notes that the head of an answer came.
	 */
	void onHead(Attempt attempt) {
		Replica replica = attempt.choice().replica();
		this.crashTable.alive(Crash.process(replica), attempt.startedAt());
		onConfirmedWhole(this.watch.answered(replica, attempt.startedAt()));
	}

	/**
	 * Notes that more of an answer came.
	 */
	void onData(ServedRequest request, String model, Attempt attempt) {
		if (attempt.checkBodyLasted(MIN_SOUND_ANSWER_MILLIS)) {
			recordSound(traits(request, model));
		}
	}

	/**
	 * Notes how an attempt ended.
	 */
	void onEnded(ServedRequest request, String model, Attempt attempt, AttemptEnd end) {
		switch (end) {
			case AttemptEnd.Broken broken -> {
				boolean lost = attempt.isConnectionLost() || attempt.hasEndedWithConnection();
				onEnded(request, model, attempt, lost ? CrashWatch.Manner.BROKEN : CrashWatch.Manner.GIVEN_UP);
			}
			case AttemptEnd.Answered answered -> onAnswered(request, model, attempt, answered);
			case AttemptEnd.NotRun notRun -> onNotRun(attempt);
			case AttemptEnd.Withdrawn withdrawn -> onEnded(request, model, attempt, CrashWatch.Manner.GIVEN_UP);
			case AttemptEnd.Dropped dropped -> onEnded(request, model, attempt, CrashWatch.Manner.GIVEN_UP);
		}
	}

	private void onAnswered(ServedRequest request, String model, Attempt attempt, AttemptEnd.Answered answered) {
		if (answered.failure()) {
			return;
		}
		if (attempt.hasEndedWithConnection()) {
			onEnded(request, model, attempt, CrashWatch.Manner.CLOSED);
			boolean again = this.watch.closedAgain(Trait.content(request.contentHash()));
			if (again || !this.crashTable.everSound(request.partTraits(model))) {
				checkLiveness(attempt.choice().replica());
			}
		}
		else {
			recordSound(traits(request, model));
		}
	}

	private void onEnded(ServedRequest request, String model, Attempt attempt, CrashWatch.Manner manner) {
		Replica replica = attempt.choice().replica();
		this.watch.ended(MonotonicClock.millis(), replica, attempt.startedAt(), manner, request.traits(model))
			.ifPresent((crash) -> onCrash(crash, "more that ran there"));
		if (manner == CrashWatch.Manner.BROKEN) {
			checkLiveness(replica);
		}
	}

	/**
	 * A connection that is refused, or accepted by another process, tells that the
	 * replica is dead.
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
		String process = Crash.process(replica);
		if (!this.livenessChecks.add(process)) {
			return;
		}
		connectAfter(LIVENESS_CHECK_DELAY_MILLIS, replica, (askedAt) -> {
			if (this.watch.awaitsProof(replica)) {
				connectAfter(SECOND_CHECK_DELAY_MILLIS, replica, (again) -> {
					this.livenessChecks.remove(process);
					onConfirmedWhole(this.watch.accepts(replica, askedAt));
				});
			}
			else {
				this.livenessChecks.remove(process);
			}
		});
	}

	/**
	 * Asks a replica after a while whether it accepts a connection.
	 * @param accepted is given when it was asked
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
				this.livenessChecks.remove(Crash.process(replica));
				if (ChannelPool.isConnectionRefused(failure)) {
					this.decisions.picker().unreachable(MonotonicClock.millis(), replica);
					onProcessGone(replica.id(), "refuses connections");
				}
			});
		});
	}

	/**
	 * Takes in that answers without a length turned out to be whole.
	 */
	private void onConfirmedWhole(Set<Trait> traits) {
		if (!traits.isEmpty()) {
			recordSound(List.copyOf(traits));
		}
	}

	/**
	 * Is called some times a second.
	 */
	void check(long now) {
		logBlocked(this.crashTable.look(now), "this node");
		if (this.crashTable.untold() && !this.spreadScheduled) {
			// Other nodes find the same out at the same time; one of them tells it.
			this.spreadScheduled = true;
			this.vertx.setTimer(spreadMillis(), (timer) -> {
				this.spreadScheduled = false;
				if (this.crashTable.untold()) {
					scheduleNote(1);
				}
			});
		}
	}

	private long spreadMillis() {
		return 1 + this.random.nextLong(SPREAD_PER_NODE_MILLIS * this.nodes.knownCount().orElse(1));
	}

	/**
	 * Takes in a change of the deployment, or another node's note.
	 */
	void onFleetChange(FleetChange change) {
		switch (change) {
			case FleetChange.Unlisted unlisted -> {
				onProcessGone(unlisted.id(), "is not listed any more");
				this.watch.leaves(MonotonicClock.millis(), unlisted.id());
			}
			case FleetChange.Listed listed -> this.watch.listed(MonotonicClock.millis(), listed.replica())
				.ifPresent((crash) -> onCrash(crash, "another process has its id"));
			case FleetChange.Noted noted -> {
				// What this node told in an earlier life is news to it.
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
		this.watch.down(MonotonicClock.millis(), replica).ifPresent((crash) -> onCrash(crash, how));
	}

	private void onCrash(Crash crash, String how) {
		long now = MonotonicClock.millis();
		this.log.replicaEnded(crash, now, how);
		this.telemetry.count("replicas.ended.under.work");
		logBlocked(this.crashTable.crashed(now, crash), "this node");
		scheduleNote(COLLECT_MILLIS);
	}

	private void recordSound(List<Trait> traits) {
		long now = MonotonicClock.millis();
		List<Trait> cleared = this.crashTable.sound(now, traits);
		cleared.forEach((trait) -> this.log.traitUnblocked(trait, "this node"));
		if (!cleared.isEmpty()) {
			scheduleNote(COLLECT_MILLIS);
		}
		else if (this.crashTable.speaksFor(traits)) {
			scheduleNote(COLLECT_MILLIS + spreadMillis());
		}
	}

	/**
	 * Hashing the content is left out while nothing is known of any crash.
	 */
	private List<Trait> traits(ServedRequest request, String model) {
		return this.crashTable.any() ? request.traits(model) : request.partTraits(model);
	}

	private void onPeerNote(FleetChange.Noted noted, boolean own) {
		try {
			CrashNote told = Json.read(noted.value(), CrashNote.class);
			long now = MonotonicClock.millis();
			long timeOfDay = System.currentTimeMillis();
			CrashBook.Learned learned = own ? this.crashTable.learnOwn(now, timeOfDay, told)
					: this.crashTable.learn(now, timeOfDay, told);
			logBlocked(learned.refused(), noted.key());
			learned.cleared().forEach((trait) -> this.log.traitUnblocked(trait, noted.key()));
			if (this.crashTable.toldRefused(learned.cleared())) {
				scheduleNote(COLLECT_MILLIS + spreadMillis());
			}
		}
		catch (IOException ex) {
			this.log.unreadableRecord(noted.key(), ex.getMessage());
		}
	}

	private void logBlocked(List<Trait> traits, String source) {
		traits.forEach((trait) -> this.log.traitBlocked(trait, this.crashTable, source));
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
		Optional<CrashNote> told = this.crashTable.note(MonotonicClock.millis(), System.currentTimeMillis());
		if (told.isPresent()) {
			this.hasWritten = true;
			this.note.write(Json.write(told.get()), () -> scheduleNote(RETRY_DELAY_MILLIS));
		}
	}

}
