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
import org.gullsaddle.suspect.CrashDetector;
import org.gullsaddle.suspect.CrashNote;
import org.gullsaddle.suspect.CrashTracker;
import org.gullsaddle.suspect.Trait;
import org.gullsaddle.telemetry.Telemetry;

/**
 * Watches for requests that crash their replicas, finds out at once whether a replica is
 * dead whose connections broke, and tells the other nodes by a note. Confined to the
 * event loop.
 */
final class CrashController {

	static final String NOTES = "gullsaddle/crashes/";

	/**
	 * How long crashes are gathered before they are told, in milliseconds: the failure of
	 * a rack is one note.
	 */
	private static final long GATHER_MILLIS = 200;

	/**
	 * In what time for each node they tell what several may tell, in milliseconds.
	 */
	private static final long SPREAD_MILLIS = 4;

	/** When a note is written again that the store may not have, in milliseconds. */
	private static final long AGAIN_MILLIS = 1000;

	/**
	 * How long after its connections broke a replica is asked whether it lives, in
	 * milliseconds: by then all that broke in the same moment is known.
	 */
	private static final long ASK_MILLIS = 50;

	/**
	 * How much later it is asked again for an answer without a length to be whole, in
	 * milliseconds: one that dies of it may accept a connection before.
	 */
	private static final long ASK_AGAIN_MILLIS = 500;

	/**
	 * How long an answer has gone on for its engine to have borne the request, in
	 * milliseconds.
	 */
	private static final long BORNE_MILLIS = 500;

	private final Vertx vertx;

	private final ChannelPool pool;

	private final Decisions decisions;

	private final NodeRegister nodes;

	private final DecisionLog log;

	private final Telemetry telemetry;

	private final String key;

	private final NodeNote note;

	private final CrashTrials trials;

	private final CrashDetector watch = new CrashDetector();

	private final CrashTracker book = new CrashTracker();

	/** The processes that are asked whether they live. */
	private final Set<String> asked = new HashSet<>();

	private final RandomGenerator random = RandomGenerator.getDefault();

	private boolean wrote;

	private boolean due;

	private boolean telling;

	CrashController(Vertx vertx, Store store, String node, ChannelPool pool, Decisions decisions, NodeRegister nodes,
			DecisionLog log, Telemetry telemetry) {
		this.vertx = vertx;
		this.pool = pool;
		this.decisions = decisions;
		this.nodes = nodes;
		this.log = log;
		this.telemetry = telemetry;
		this.key = NOTES + node;
		this.note = new NodeNote(store, this.key);
		this.trials = new CrashTrials(store, node, this.book, log, telemetry);
		telemetry.gauge("traits.refused", this.book::blockedCount);
	}

	CrashTracker book() {
		return this.book;
	}

	/**
	 * Says whether others' news of crashes are awaited.
	 */
	boolean unsettled() {
		return this.book.isAwaitingNotes(Clock.millis());
	}

	/**
	 * Lets a request go on: at once, or once it is known whether it is let through to try
	 * a trait that is refused.
	 * @param model the model that is to run it first
	 */
	void ask(ServedRequest request, String model, Runnable then) {
		List<Trait> traits = (this.book.blockedCount() > 0) ? request.traits(model) : List.of();
		if (!this.book.isBlocked(traits)) {
			then.run();
			return;
		}
		if (this.book.onRequest(Clock.millis(), traits)) {
			tellIn(GATHER_MILLIS);
		}
		this.trials.ask(request, traits, then);
	}

	/**
	 * Notes that the head of an answer came.
	 */
	void head(Attempt attempt) {
		Replica replica = attempt.choice().replica();
		this.book.onAlive(Crash.processName(replica), attempt.startedAt());
		whole(this.watch.onAnswer(replica, attempt.startedAt()));
	}

	/**
	 * Notes that more of an answer came.
	 */
	void data(ServedRequest request, String model, Attempt attempt) {
		if (attempt.goesOnFor(BORNE_MILLIS)) {
			sound(traits(request, model));
		}
	}

	/**
	 * Notes how an attempt ended.
	 */
	void ended(ServedRequest request, String model, Attempt attempt, AttemptEnd end) {
		switch (end) {
			case AttemptEnd.Broken broken -> {
				boolean lost = attempt.lost() || attempt.endedWithConnection();
				ended(request, model, attempt, lost ? CrashDetector.EndKind.BROKEN : CrashDetector.EndKind.CANCELLED);
			}
			case AttemptEnd.Answered answered -> answered(request, model, attempt, answered);
			case AttemptEnd.NotRun notRun -> notRun(attempt);
			case AttemptEnd.Withdrawn withdrawn -> ended(request, model, attempt, CrashDetector.EndKind.CANCELLED);
			case AttemptEnd.Dropped dropped -> ended(request, model, attempt, CrashDetector.EndKind.CANCELLED);
		}
	}

	private void answered(ServedRequest request, String model, Attempt attempt, AttemptEnd.Answered answered) {
		if (answered.failure()) {
			return;
		}
		if (attempt.endedWithConnection()) {
			ended(request, model, attempt, CrashDetector.EndKind.CLOSE_DELIMITED);
			boolean again = this.watch.recordCloseDelimited(Trait.content(request.content()));
			if (again || !this.book.hasSuccessWithEach(request.partTraits(model))) {
				askWhetherItLives(attempt.choice().replica());
			}
		}
		else {
			sound(traits(request, model));
		}
	}

	private void ended(ServedRequest request, String model, Attempt attempt, CrashDetector.EndKind manner) {
		Replica replica = attempt.choice().replica();
		this.watch.onAttemptEnd(Clock.millis(), replica, attempt.startedAt(), manner, request.traits(model))
			.ifPresent((crash) -> crashed(crash, "more that ran there"));
		if (manner == CrashDetector.EndKind.BROKEN) {
			askWhetherItLives(replica);
		}
	}

	/**
	 * A connection that is refused, or accepted by another process, tells that the
	 * replica is dead.
	 */
	private void notRun(Attempt attempt) {
		Replica replica = attempt.choice().replica();
		if (attempt.connectRefused()) {
			down(replica.id(), "refuses connections");
		}
		else if (attempt.misdirected()) {
			down(replica.id(), "another process has its address");
		}
	}

	private void askWhetherItLives(Replica replica) {
		String process = Crash.processName(replica);
		if (!this.asked.add(process)) {
			return;
		}
		askIn(ASK_MILLIS, replica, (askedAt) -> {
			if (this.watch.hasUnconfirmedAnswers(replica)) {
				askIn(ASK_AGAIN_MILLIS, replica, (again) -> {
					this.asked.remove(process);
					whole(this.watch.onConnectionAccepted(replica, askedAt));
				});
			}
			else {
				this.asked.remove(process);
			}
		});
	}

	/**
	 * Asks a replica after a while whether it accepts a connection.
	 * @param accepted is given when it was asked
	 */
	private void askIn(long millis, Replica replica, LongConsumer accepted) {
		this.vertx.setTimer(millis, (timer) -> {
			long askedAt = Clock.millis();
			this.pool.take(replica, true).onComplete((channel, failure) -> {
				if (failure == null) {
					channel.close();
					accepted.accept(askedAt);
					return;
				}
				this.asked.remove(Crash.processName(replica));
				if (ChannelPool.refused(failure)) {
					this.decisions.picker().unreachable(Clock.millis(), replica);
					down(replica.id(), "refuses connections");
				}
			});
		});
	}

	/**
	 * Takes in that answers without a length turned out to be whole.
	 */
	private void whole(Set<Trait> traits) {
		if (!traits.isEmpty()) {
			sound(List.copyOf(traits));
		}
	}

	/**
	 * Is called some times a second.
	 */
	void look(long now) {
		refused(this.book.reevaluate(now), "this node");
		if (this.book.hasUnreportedBlocks() && !this.telling) {
			// Other nodes find the same out at the same time; one of them tells it.
			this.telling = true;
			this.vertx.setTimer(spreadMillis(), (timer) -> {
				this.telling = false;
				if (this.book.hasUnreportedBlocks()) {
					tellIn(1);
				}
			});
		}
	}

	private long spreadMillis() {
		return 1 + this.random.nextLong(SPREAD_MILLIS * this.nodes.known().orElse(1));
	}

	/**
	 * Takes in a change of the deployment, or another node's note.
	 */
	void learned(FleetChange change) {
		switch (change) {
			case FleetChange.Unlisted unlisted -> {
				down(unlisted.id(), "is not listed any more");
				this.watch.onLeaving(Clock.millis(), unlisted.id());
			}
			case FleetChange.Listed listed -> this.watch.onListed(Clock.millis(), listed.replica())
				.ifPresent((crash) -> crashed(crash, "another process has its id"));
			case FleetChange.NoteWritten noted -> {
				// What this node told in an earlier life is news to it.
				boolean own = noted.key().equals(this.key);
				if (noted.key().startsWith(NOTES) && !(own && this.wrote)) {
					learn(noted, own);
				}
			}
			default -> {
			}
		}
	}

	private void down(ReplicaId replica, String how) {
		this.watch.onDead(Clock.millis(), replica).ifPresent((crash) -> crashed(crash, how));
	}

	private void crashed(Crash crash, String how) {
		long now = Clock.millis();
		this.log.replicaEnded(crash, now, how);
		this.telemetry.count("replicas.ended.under.work");
		refused(this.book.onCrash(now, crash), "this node");
		tellIn(GATHER_MILLIS);
	}

	private void sound(List<Trait> traits) {
		long now = Clock.millis();
		List<Trait> cleared = this.book.onSuccess(now, traits);
		cleared.forEach((trait) -> this.log.acquitted(trait, "this node"));
		if (!cleared.isEmpty()) {
			tellIn(GATHER_MILLIS);
		}
		else if (this.book.shouldReportSuccess(traits)) {
			tellIn(GATHER_MILLIS + spreadMillis());
		}
	}

	/**
	 * Hashing the content is left out while nothing is known of any crash.
	 */
	private List<Trait> traits(ServedRequest request, String model) {
		return this.book.hasCrashEvidence() ? request.traits(model) : request.partTraits(model);
	}

	private void learn(FleetChange.NoteWritten noted, boolean own) {
		try {
			CrashNote told = Json.read(noted.value(), CrashNote.class);
			long now = Clock.millis();
			long timeOfDay = System.currentTimeMillis();
			CrashTracker.NoteEffect learned = own ? this.book.onOwnNote(now, timeOfDay, told)
					: this.book.onNote(now, timeOfDay, told);
			refused(learned.blocked(), noted.key());
			learned.unblocked().forEach((trait) -> this.log.acquitted(trait, noted.key()));
			if (this.book.hasReportedAnyBlocked(learned.unblocked())) {
				tellIn(GATHER_MILLIS + spreadMillis());
			}
		}
		catch (IOException ex) {
			this.log.unreadable(noted.key(), ex.getMessage());
		}
	}

	private void refused(List<Trait> traits, String source) {
		traits.forEach((trait) -> this.log.convicted(trait, this.book, source));
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
		Optional<CrashNote> told = this.book.buildNote(Clock.millis(), System.currentTimeMillis());
		if (told.isPresent()) {
			this.wrote = true;
			this.note.write(Json.write(told.get()), () -> tellIn(AGAIN_MILLIS));
		}
	}

}
