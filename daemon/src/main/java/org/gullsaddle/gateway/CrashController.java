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

	private final SharedRoutingState decisions;

	private final NodeRegistry nodes;

	private final DecisionLog log;

	private final Telemetry telemetry;

	private final String key;

	private final NodeNoteWriter note;

	private final CrashTrials trials;

	private final CrashWatch watch = new CrashWatch();

	private final CrashBook book = new CrashBook();

	/** The processes that are asked whether they live. */
	private final Set<String> asked = new HashSet<>();

	private final RandomGenerator random = RandomGenerator.getDefault();

	private boolean wrote;

	private boolean due;

	private boolean telling;

	CrashController(Vertx vertx, Store store, String node, ChannelPool pool, SharedRoutingState decisions,
			NodeRegistry nodes, DecisionLog log, Telemetry telemetry) {
		this.vertx = vertx;
		this.pool = pool;
		this.decisions = decisions;
		this.nodes = nodes;
		this.log = log;
		this.telemetry = telemetry;
		this.key = NOTES + node;
		this.note = new NodeNoteWriter(store, this.key);
		this.trials = new CrashTrials(store, node, this.book, log, telemetry);
		telemetry.gauge("traits.refused", this.book::countRefused);
	}

	CrashBook book() {
		return this.book;
	}

	/**
	 * Says whether others' news of crashes are awaited.
	 */
	boolean unsettled() {
		return this.book.unsettled(MonotonicClock.millis());
	}

	/**
	 * Lets a request go on: at once, or once it is known whether it is let through to try
	 * a trait that is refused.
	 * @param model the model that is to run it first
	 */
	void ask(ServedRequest request, String model, Runnable then) {
		List<Trait> traits = (this.book.countRefused() > 0) ? request.traits(model) : List.of();
		if (!this.book.refuses(traits)) {
			then.run();
			return;
		}
		if (this.book.seen(MonotonicClock.millis(), traits)) {
			tellIn(GATHER_MILLIS);
		}
		this.trials.ask(request, traits, then);
	}

	/**
	 * Notes that the head of an answer came.
	 */
	void head(Attempt attempt) {
		Replica replica = attempt.choice().replica();
		this.book.alive(Crash.process(replica), attempt.startedAt());
		whole(this.watch.answered(replica, attempt.startedAt()));
	}

	/**
	 * Notes that more of an answer came.
	 */
	void data(ServedRequest request, String model, Attempt attempt) {
		if (attempt.checkBodyLasted(BORNE_MILLIS)) {
			sound(traits(request, model));
		}
	}

	/**
	 * Notes how an attempt ended.
	 */
	void ended(ServedRequest request, String model, Attempt attempt, AttemptEnd end) {
		switch (end) {
			case AttemptEnd.Broken broken -> {
				boolean lost = attempt.isConnectionLost() || attempt.hasEndedWithConnection();
				ended(request, model, attempt, lost ? CrashWatch.Manner.BROKEN : CrashWatch.Manner.GIVEN_UP);
			}
			case AttemptEnd.Answered answered -> answered(request, model, attempt, answered);
			case AttemptEnd.NotRun notRun -> notRun(attempt);
			case AttemptEnd.Withdrawn withdrawn -> ended(request, model, attempt, CrashWatch.Manner.GIVEN_UP);
			case AttemptEnd.Dropped dropped -> ended(request, model, attempt, CrashWatch.Manner.GIVEN_UP);
		}
	}

	private void answered(ServedRequest request, String model, Attempt attempt, AttemptEnd.Answered answered) {
		if (answered.failure()) {
			return;
		}
		if (attempt.hasEndedWithConnection()) {
			ended(request, model, attempt, CrashWatch.Manner.CLOSED);
			boolean again = this.watch.closedAgain(Trait.content(request.contentHash()));
			if (again || !this.book.everSound(request.partTraits(model))) {
				askWhetherItLives(attempt.choice().replica());
			}
		}
		else {
			sound(traits(request, model));
		}
	}

	private void ended(ServedRequest request, String model, Attempt attempt, CrashWatch.Manner manner) {
		Replica replica = attempt.choice().replica();
		this.watch.ended(MonotonicClock.millis(), replica, attempt.startedAt(), manner, request.traits(model))
			.ifPresent((crash) -> crashed(crash, "more that ran there"));
		if (manner == CrashWatch.Manner.BROKEN) {
			askWhetherItLives(replica);
		}
	}

	/**
	 * A connection that is refused, or accepted by another process, tells that the
	 * replica is dead.
	 */
	private void notRun(Attempt attempt) {
		Replica replica = attempt.choice().replica();
		if (attempt.isConnectionRefused()) {
			down(replica.id(), "refuses connections");
		}
		else if (attempt.isMisdirected()) {
			down(replica.id(), "another process has its address");
		}
	}

	private void askWhetherItLives(Replica replica) {
		String process = Crash.process(replica);
		if (!this.asked.add(process)) {
			return;
		}
		askIn(ASK_MILLIS, replica, (askedAt) -> {
			if (this.watch.awaitsProof(replica)) {
				askIn(ASK_AGAIN_MILLIS, replica, (again) -> {
					this.asked.remove(process);
					whole(this.watch.accepts(replica, askedAt));
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
			long askedAt = MonotonicClock.millis();
			this.pool.acquire(replica, true).onComplete((channel, failure) -> {
				if (failure == null) {
					channel.close();
					accepted.accept(askedAt);
					return;
				}
				this.asked.remove(Crash.process(replica));
				if (ChannelPool.isConnectionRefused(failure)) {
					this.decisions.picker().unreachable(MonotonicClock.millis(), replica);
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
		refused(this.book.look(now), "this node");
		if (this.book.untold() && !this.telling) {
			// Other nodes find the same out at the same time; one of them tells it.
			this.telling = true;
			this.vertx.setTimer(spreadMillis(), (timer) -> {
				this.telling = false;
				if (this.book.untold()) {
					tellIn(1);
				}
			});
		}
	}

	private long spreadMillis() {
		return 1 + this.random.nextLong(SPREAD_MILLIS * this.nodes.knownCount().orElse(1));
	}

	/**
	 * Takes in a change of the deployment, or another node's note.
	 */
	void learned(FleetChange change) {
		switch (change) {
			case FleetChange.Unlisted unlisted -> {
				down(unlisted.id(), "is not listed any more");
				this.watch.leaves(MonotonicClock.millis(), unlisted.id());
			}
			case FleetChange.Listed listed -> this.watch.listed(MonotonicClock.millis(), listed.replica())
				.ifPresent((crash) -> crashed(crash, "another process has its id"));
			case FleetChange.Noted noted -> {
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
		this.watch.down(MonotonicClock.millis(), replica).ifPresent((crash) -> crashed(crash, how));
	}

	private void crashed(Crash crash, String how) {
		long now = MonotonicClock.millis();
		this.log.replicaEnded(crash, now, how);
		this.telemetry.count("replicas.ended.under.work");
		refused(this.book.crashed(now, crash), "this node");
		tellIn(GATHER_MILLIS);
	}

	private void sound(List<Trait> traits) {
		long now = MonotonicClock.millis();
		List<Trait> cleared = this.book.sound(now, traits);
		cleared.forEach((trait) -> this.log.traitUnblocked(trait, "this node"));
		if (!cleared.isEmpty()) {
			tellIn(GATHER_MILLIS);
		}
		else if (this.book.speaksFor(traits)) {
			tellIn(GATHER_MILLIS + spreadMillis());
		}
	}

	/**
	 * Hashing the content is left out while nothing is known of any crash.
	 */
	private List<Trait> traits(ServedRequest request, String model) {
		return this.book.any() ? request.traits(model) : request.partTraits(model);
	}

	private void learn(FleetChange.Noted noted, boolean own) {
		try {
			CrashNote told = Json.read(noted.value(), CrashNote.class);
			long now = MonotonicClock.millis();
			long timeOfDay = System.currentTimeMillis();
			CrashBook.Learned learned = own ? this.book.learnOwn(now, timeOfDay, told)
					: this.book.learn(now, timeOfDay, told);
			refused(learned.refused(), noted.key());
			learned.cleared().forEach((trait) -> this.log.traitUnblocked(trait, noted.key()));
			if (this.book.toldRefused(learned.cleared())) {
				tellIn(GATHER_MILLIS + spreadMillis());
			}
		}
		catch (IOException ex) {
			this.log.unreadableRecord(noted.key(), ex.getMessage());
		}
	}

	private void refused(List<Trait> traits, String source) {
		traits.forEach((trait) -> this.log.traitBlocked(trait, this.book, source));
	}

	private void tellIn(long millis) {
		if (!this.due) {
			this.due = true;
			this.vertx.setTimer(millis, (timer) -> tell());
		}
	}

	private void tell() {
		this.due = false;
		if (this.note.isBusy()) {
			tellIn(GATHER_MILLIS);
			return;
		}
		Optional<CrashNote> told = this.book.note(MonotonicClock.millis(), System.currentTimeMillis());
		if (told.isPresent()) {
			this.wrote = true;
			this.note.write(Json.write(told.get()), () -> tellIn(AGAIN_MILLIS));
		}
	}

}
