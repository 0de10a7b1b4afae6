package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.gullsaddle.base.KeyHash;
import org.gullsaddle.base.LoadReport;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.RolloutOrder;
import org.gullsaddle.fleet.RolloutState;

/**
 * One roll-out as a node sees it: which part of the traffic the new release gets, and
 * whether it is bad. Confined to one thread.
 * <p>
 * A request goes to the new release if its key's number, the same on every node, is below
 * the share. The share of sessions is the same on all routes and, by {@link RolloutTime},
 * at all nodes, and only rises until the verdict, so that a session changes its release
 * at most once. That is in the second half: one that was served by the old release just
 * before must keep it, and a node does not know the sessions of the others. Requests
 * without a session are tried from the start. Nodes pool their evidence by notes: one
 * node sees too few answers of a small share to know in time.
 * <p>
 * Until the release is proved its requests fill one replica after the other, so that it
 * is tried under load, and stay within an allowance that the nodes share. What bounds
 * sessions is how many are let in; one that spends the allowance all the same is taken
 * back as a whole. A release is proved once it has answered well on each route in use and
 * under load, as far as all nodes tell. An unknown release is not taken for a sound one:
 * without a proof it is taken back.
 */
public final class Rollout {

	/** A hundred to one for a bad release. */
	private static final double THRESHOLD = Math.log(100);

	/**
	 * How much longer than this node another one may have known the order for both to
	 * have known it from the start, in milliseconds.
	 */
	private static final long LATE_MILLIS = 3000;

	/**
	 * How many replicas of the old release must be unreachable, one after the other, to
	 * take it that they have stopped, as they do at the end.
	 */
	private static final int GONE = 3;

	/** How many kinds of request are judged, each by itself; later ones count as one. */
	private static final int MAX_KINDS = 64;

	private static final AnswerKind OTHER_KINDS = new AnswerKind("other", "");

	private final RolloutOrder order;

	private final long revision;

	private final long seenAt;

	private final RolloutTime time;

	private final Map<AnswerKind, ReleaseTrial> trials = new HashMap<>();

	private final PooledEvidence evidence = new PooledEvidence(THRESHOLD);

	private final TriedRoutes routes = new TriedRoutes();

	private final LoadTrial loadTrial;

	private final ReleaseUse use;

	private final ReleaseProof proof;

	private final ReleaseGrowth growth;

	/** When each replica of the new release was last found slow, until its answer. */
	private final Map<ReplicaId, Long> slowUntil = new HashMap<>();

	private final Set<ReplicaId> unreachable = new HashSet<>();

	private RolloutState state;

	private long stateRevision;

	private boolean condemned;

	/**
	 * Makes a roll-out of which this node has just learned.
	 * @param notBefore a time before which it was not ordered
	 * @param now the time
	 * @param order the order
	 * @param revision the revision of the order
	 * @param limits what the release may get before it is proved
	 */
	public Rollout(long notBefore, long now, RolloutOrder order, long revision, RolloutLimits limits) {
		this.seenAt = now;
		this.time = new RolloutTime(Math.max(notBefore, now - order.durationMillis()), now);
		this.order = order;
		this.revision = revision;
		this.growth = new ReleaseGrowth(now, order.durationMillis());
		this.loadTrial = new LoadTrial(order.target());
		this.use = new ReleaseUse(limits);
		this.proof = new ReleaseProof(this.evidence, this.routes, this.loadTrial, this.use);
	}

	/**
	 * Makes a roll-out that was just ordered, with the usual limits.
	 * @param now the time
	 * @param order the order
	 * @param revision the revision of the order
	 */
	public Rollout(long now, RolloutOrder order, long revision) {
		this(now, now, order, revision, RolloutLimits.USUAL);
	}

	/**
	 * Takes in the entry of a replica of the service, which tells when it started.
	 * @param now the time
	 * @param timeOfDay the time of day here, in Unix milliseconds
	 * @param replica the replica
	 */
	public void listed(long now, long timeOfDay, Replica replica) {
		if (ofTarget(replica)) {
			this.time.started(now, timeOfDay, replica.startedAt());
		}
	}

	/**
	 * Returns the order.
	 * @return the order
	 */
	public RolloutOrder order() {
		return this.order;
	}

	/**
	 * Returns the store's revision of the order.
	 * @return the revision
	 */
	public long revision() {
		return this.revision;
	}

	/**
	 * Returns the state that was written last.
	 * @return the state, or empty if none was written for this order
	 */
	public Optional<RolloutState> state() {
		return Optional.ofNullable(this.state);
	}

	/**
	 * Returns the revision of the state, the guard of its next change.
	 * @return the revision, 0 if there was none
	 */
	public long stateRevision() {
		return this.stateRevision;
	}

	/**
	 * Takes in the state as written. One that is older than what is known, from a reading
	 * that took long, changes nothing.
	 * @param newState the state
	 * @param target the release that it speaks of
	 * @param newRevision its revision
	 */
	public void progressed(RolloutState newState, String target, long newRevision) {
		if (newRevision < this.stateRevision) {
			return;
		}
		this.stateRevision = newRevision;
		if (target.equals(this.order.target()) && newRevision > this.revision) {
			this.state = newState;
		}
	}

	/**
	 * Notes that an answer has begun: whether it is a failure stands in its head.
	 * @param replica the replica that gives it
	 * @param kind what it is compared by
	 * @param failed whether it was a failure
	 * @param sentAt when the request was sent, in milliseconds
	 * @param firstMillis how long its first part took, in milliseconds
	 */
	public void answered(Replica replica, AnswerKind kind, boolean failed, long sentAt, long firstMillis) {
		boolean known = this.trials.containsKey(kind) || this.trials.size() < MAX_KINDS;
		ReleaseTrial trial = this.trials.computeIfAbsent(known ? kind : OTHER_KINDS, (missing) -> new ReleaseTrial());
		this.routes.answered(kind.route(), ofTarget(replica));
		if (!ofTarget(replica)) {
			this.unreachable.clear();
			trial.oldAnswered(failed, firstMillis);
			return;
		}
		boolean underLoad = this.loadTrial.underLoad(replica.id(), sentAt);
		boolean slow = !failed && trial.slow(firstMillis);
		if (slow && (underLoad || !newlySlow(replica.id(), sentAt, firstMillis))) {
			// The old release was not tried under as much load.
			return;
		}
		double says = trial.newAnswered(failed, firstMillis);
		this.evidence.answered((known ? kind : OTHER_KINDS).route(), says);
		if (underLoad) {
			this.evidence.answeredUnderLoad(says);
		}
		judge();
	}

	/**
	 * Says whether a slow answer is news. All that wait at a replica while it reads one
	 * very long prompt are answered late together; that is one event of one replica, and
	 * says little of the release.
	 */
	private boolean newlySlow(ReplicaId replica, long sentAt, long firstMillis) {
		if (sentAt < this.slowUntil.getOrDefault(replica, Long.MIN_VALUE)) {
			return false;
		}
		this.slowUntil.put(replica, sentAt + firstMillis);
		return true;
	}

	/**
	 * Notes that this node sent a request to a replica.
	 * @param replica the replica
	 */
	public void sent(Replica replica) {
		this.use.sent(ofTarget(replica));
	}

	/**
	 * Takes in what a replica told of its load.
	 * @param now the time
	 * @param replica the replica
	 * @param load its load
	 * @param sentAt when the request was sent that it answers
	 */
	public void told(long now, Replica replica, LoadReport load, long sentAt) {
		if (ofTarget(replica)) {
			this.loadTrial.told(now, replica, load, sentAt);
		}
		else {
			this.use.formerTold(load);
		}
	}

	/**
	 * Notes that a replica could not be reached.
	 * @param replica the replica
	 */
	public void unreachable(Replica replica) {
		if (!ofTarget(replica)) {
			this.unreachable.add(replica.id());
		}
	}

	/**
	 * Takes in another node's note.
	 * @param now the time
	 * @param note the note
	 */
	public void learn(long now, RolloutNote note) {
		this.evidence.learn(note, note.elapsedMillis() - (now - this.seenAt) < LATE_MILLIS);
		this.time.told(now, note.elapsedMillis());
		this.routes.learn(note);
		if (note.provedMillis() > 0) {
			this.growth.proved(note.provedMillis());
		}
		judge();
	}

	/**
	 * Finds out whether the release is proved. Is to be called some times a second.
	 * @param now the time
	 * @param knowledgeMillis how old what this node knows of the others may be
	 */
	public void look(long now, long knowledgeMillis) {
		this.growth.known(now, knowledgeMillis);
		boolean open = rises(now) && !this.growth.isProved() && part(now) <= ReleaseRamp.LATEST_PROOF;
		if (open && this.proof.stands(part(now))) {
			this.growth.proved(elapsed(now));
		}
		provedShare(now);
	}

	private boolean rises(long now) {
		return this.state == RolloutState.RUNNING && this.growth.trusted(now) && !takenBack();
	}

	/**
	 * Returns the share of all requests since the proof.
	 */
	private double provedShare(long now) {
		if (this.growth.isProved() && rises(now)) {
			this.growth.rise(part(now));
		}
		return this.growth.share();
	}

	/**
	 * Says whether more requests may go to the new release from one moment to the next,
	 * so that news of it are urgent.
	 * @return true from the proof until the end
	 */
	public boolean grows() {
		return this.growth.isProved() && this.state == RolloutState.RUNNING;
	}

	/**
	 * Returns what this node tells the others.
	 * @param now the time
	 * @param node this node's name
	 * @return the note
	 */
	public RolloutNote note(long now, String node) {
		return new RolloutNote(node, this.evidence.own(), this.evidence.ownRoutes(), this.evidence.ownAnswers(),
				elapsed(now), this.routes.target(), this.loadTrial.answersUnderLoad(), this.loadTrial.triedLoad(),
				this.growth.provedMillis(), this.use.sent(), this.use.sentToTarget());
	}

	/**
	 * Returns the evidence against the new release, of all nodes.
	 * @return the sum of logarithms, 0 or more
	 */
	public double evidence() {
		return this.evidence.sum();
	}

	/**
	 * Returns the answers of the new release that are known of.
	 * @return the number
	 */
	public int answers() {
		return this.evidence.answers();
	}

	/**
	 * Returns how far the new release has come, as this node knows.
	 * @param now the time
	 * @return its figures
	 */
	public RolloutProgress progress(long now) {
		return new RolloutProgress(part(now), this.growth.share(), this.use.sent(), this.use.sentToTarget(),
				this.proof.triedLoad(), this.use.formerLoad(), this.proof.answersUnderLoad(),
				this.growth.provedMillis());
	}

	/**
	 * Returns the state that is to be written now.
	 * @param now the time
	 * @return the state, or empty if what is written stands
	 */
	public Optional<RolloutState> due(long now) {
		if (this.state == null) {
			return Optional.of(RolloutState.RUNNING);
		}
		if (this.state != RolloutState.RUNNING) {
			return Optional.empty();
		}
		if (this.condemned || hopeless(now)) {
			return Optional.of(RolloutState.ROLLED_BACK);
		}
		double part = part(now);
		double completeAt = ReleaseRamp.completeAt(this.growth.provedAt());
		boolean late = elapsedPart(this.time.elapsedSinceOrder(now)) >= ReleaseRamp.LATEST_COMPLETE;
		boolean whole = this.growth.share() >= 1 && (part >= completeAt || late);
		return whole ? Optional.of(RolloutState.COMPLETED) : Optional.empty();
	}

	/**
	 * Says whether the release has spent its allowance without a proof, or does not serve
	 * all requests though its time is nearly over.
	 */
	private boolean hopeless(long now) {
		if (!this.growth.isProved() && this.use.spent(this.evidence.notes())) {
			return true;
		}
		return this.growth.share() < 1 && elapsedPart(this.time.elapsedSinceOrder(now)) >= ReleaseRamp.GIVE_UP_AT;
	}

	/**
	 * Returns the share of the new release among requests like one.
	 */
	private double share(long now, ReleaseKey key) {
		if (this.growth.cutOff(now)) {
			return this.growth.share();
		}
		double unproved = key.session() ? ReleaseRamp.unprovedSessions(part(now))
				: ReleaseRamp.unprovedRequests(part(now), this.routes.smallest(key.route()));
		return Math.max(unproved, provedShare(now));
	}

	/**
	 * Says whether the old replicas have stopped, though this node has not heard of the
	 * end.
	 */
	private boolean formerGone(long now) {
		return part(now) >= ReleaseRamp.COMPLETE_AT && this.unreachable.size() >= GONE;
	}

	/**
	 * Notes what a request is like, for the order in which routes are tried.
	 * @param key what decides by which release it is served
	 */
	public void asked(ReleaseKey key) {
		this.routes.asked(key.route(), key.tokens());
	}

	/**
	 * Keeps the replicas that a request may go to.
	 * @param now the time
	 * @param replicas the replicas of the service
	 * @param key what decides by which release it is served
	 * @param leftOut replicas that it may not be sent to now
	 * @param nodes how many nodes share the allowance of an unproved release, 0 if that
	 * is not known
	 * @return those of its release; of the other release if there are none and that is
	 * not a bad one, nor one that has spent its allowance
	 */
	public List<Replica> allowed(long now, List<Replica> replicas, ReleaseKey key, Set<ReplicaId> leftOut, int nodes) {
		List<Replica> target = release(replicas, true);
		List<Replica> former = release(replicas, false);
		if (takenBack() || target.isEmpty()) {
			return former;
		}
		if (this.state == RolloutState.COMPLETED || formerGone(now)) {
			return target;
		}
		boolean chosen = chosen(now, key);
		boolean goes = chosen && (provedShare(now) > 0 || key.session());
		if (!goes && !((chosen || former.isEmpty()) && this.use.allows(nodes))) {
			return former;
		}
		return this.loadTrial.fill(now, target, leftOut, this.routes.smallest(key.route()));
	}

	private boolean chosen(long now, ReleaseKey key) {
		return KeyHash.toUnitInterval(key.value() + '@' + this.order.target()) < share(now, key);
	}

	/**
	 * Returns the replicas of the release that the roll-out replaces.
	 * @param replicas the replicas to choose from
	 * @return those that are not of its target, none once it is completed
	 */
	List<Replica> former(List<Replica> replicas) {
		return (this.state == RolloutState.COMPLETED) ? List.of() : release(replicas, false);
	}

	private boolean takenBack() {
		return this.condemned || this.state == RolloutState.ROLLED_BACK;
	}

	private List<Replica> release(List<Replica> replicas, boolean target) {
		return replicas.stream().filter((replica) -> ofTarget(replica) == target).toList();
	}

	private boolean ofTarget(Replica replica) {
		return replica.release().equals(this.order.target());
	}

	private void judge() {
		this.condemned = this.condemned || this.evidence.enough(this.proof.answersUnderLoad());
	}

	private double part(long now) {
		return elapsedPart(elapsed(now));
	}

	private double elapsedPart(long elapsedMillis) {
		return (double) elapsedMillis / this.order.durationMillis();
	}

	private long elapsed(long now) {
		return this.time.elapsed(now);
	}

}
