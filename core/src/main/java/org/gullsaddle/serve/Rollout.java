package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.gullsaddle.base.LoadReport;
import org.gullsaddle.base.Spread;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.RolloutOrder;
import org.gullsaddle.fleet.RolloutState;

/**
 * One roll-out as a node sees it: which part of the traffic the new release gets, and
 * whether it is bad. Confined to one thread.
 * <p>
 * A request goes to the new release if its key's number, the same on every node, is below
 * the share. The share of sessions is the same on all routes and, by
 * {@link RolloutClock}, at all nodes, and only rises until the verdict, so that a session
 * changes its release at most once. That is in the second half: one that was served by
 * the old release just before must keep it, and a node does not know the sessions of the
 * others. Requests without a session are tried from the start. Nodes pool their evidence
 * by notes: one node sees too few answers of a small share to know in time.
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
	private static final double EVIDENCE_THRESHOLD = Math.log(100);

	/**
	 * How much longer than this node another one may have known the order for both to
	 * have known it from the start, in milliseconds.
	 */
	private static final long MAX_LEARNED_LATER_MILLIS = 3000;

	/**
	 * How many replicas of the old release must be unreachable, one after the other, to
	 * take it that they have stopped, as they do at the end.
	 */
	private static final int MIN_UNREACHABLE_OLD_REPLICAS = 3;

	/** How many kinds of request are judged, each by itself; later ones count as one. */
	private static final int MAX_KINDS = 64;

	private static final AnswerKind OTHER_KIND = new AnswerKind("other", "");

	private final RolloutOrder order;

	private final long revision;

	private final long learnedAt;

	private final RolloutClock clock;

	private final Map<AnswerKind, ReleaseComparison> comparisons = new HashMap<>();

	private final PooledEvidence evidence = new PooledEvidence(EVIDENCE_THRESHOLD);

	private final RouteCoverage routes = new RouteCoverage();

	private final LoadTrial loadTrial;

	private final ReleaseUsage usage;

	private final ReleaseProof proof;

	private final RampUp rampUp;

	/** When each replica of the new release was last found slow, until its answer. */
	private final Map<ReplicaId, Long> slowUntil = new HashMap<>();

	private final Set<ReplicaId> unreachableOldReplicas = new HashSet<>();

	private RolloutState writtenState;

	private long stateRevision;

	private boolean foundBad;

	/**
	 * Makes a roll-out of which this node has just learned.
	 * @param notBefore a time before which it was not ordered
	 * @param now the time
	 * @param order the order
	 * @param revision the revision of the order
	 * @param limits what the release may get before it is proved
	 */
	public Rollout(long notBefore, long now, RolloutOrder order, long revision, RolloutLimits limits) {
		this.learnedAt = now;
		this.clock = new RolloutClock(Math.max(notBefore, now - order.durationMillis()), now);
		this.order = order;
		this.revision = revision;
		this.rampUp = new RampUp(now, order.durationMillis());
		this.loadTrial = new LoadTrial(order.target());
		this.usage = new ReleaseUsage(limits);
		this.proof = new ReleaseProof(this.evidence, this.routes, this.loadTrial, this.usage);
	}

	/**
	 * Makes a roll-out that was just ordered, with the usual limits.
	 * @param now the time
	 * @param order the order
	 * @param revision the revision of the order
	 */
	public Rollout(long now, RolloutOrder order, long revision) {
		this(now, now, order, revision, RolloutLimits.DEFAULT);
	}

	/**
	 * Takes in the entry of a replica of the service, which tells when it started.
	 * @param now the time
	 * @param timeOfDay the time of day here, in Unix milliseconds
	 * @param replica the replica
	 */
	public void onReplicaListed(long now, long timeOfDay, Replica replica) {
		if (isOnTarget(replica)) {
			this.clock.onReplicaStarted(now, timeOfDay, replica.startedAt());
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
	public Optional<RolloutState> writtenState() {
		return Optional.ofNullable(this.writtenState);
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
	public void onStateRead(RolloutState newState, String target, long newRevision) {
		if (newRevision < this.stateRevision) {
			return;
		}
		this.stateRevision = newRevision;
		if (target.equals(this.order.target()) && newRevision > this.revision) {
			this.writtenState = newState;
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
	public void onAnswerStarted(Replica replica, AnswerKind kind, boolean failed, long sentAt, long firstMillis) {
		boolean known = this.comparisons.containsKey(kind) || this.comparisons.size() < MAX_KINDS;
		ReleaseComparison trial = this.comparisons.computeIfAbsent(known ? kind : OTHER_KIND,
				(missing) -> new ReleaseComparison());
		this.routes.recordAnswer(kind.route(), isOnTarget(replica));
		if (!isOnTarget(replica)) {
			this.unreachableOldReplicas.clear();
			trial.recordOldAnswer(failed, firstMillis);
			return;
		}
		boolean underLoad = this.loadTrial.wasUnderLoad(replica.id(), sentAt);
		boolean slow = !failed && trial.isSlow(firstMillis);
		if (slow && (underLoad || !isNewSlowEvent(replica.id(), sentAt, firstMillis))) {
			// The old release was not tried under as much load.
			return;
		}
		double says = trial.evidenceOf(failed, firstMillis);
		this.evidence.recordAnswer((known ? kind : OTHER_KIND).route(), says);
		if (underLoad) {
			this.evidence.recordAnswerUnderLoad(says);
		}
		checkEvidence();
	}

	/**
	 * Says whether a slow answer is news. All that wait at a replica while it reads one
	 * very long prompt are answered late together; that is one event of one replica, and
	 * says little of the release.
	 */
	private boolean isNewSlowEvent(ReplicaId replica, long sentAt, long firstMillis) {
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
	public void recordSent(Replica replica) {
		this.usage.sent(isOnTarget(replica));
	}

	/**
	 * Takes in what a replica told of its load.
	 * @param now the time
	 * @param replica the replica
	 * @param load its load
	 * @param sentAt when the request was sent that it answers
	 */
	public void onLoadReported(long now, Replica replica, LoadReport load, long sentAt) {
		if (isOnTarget(replica)) {
			this.loadTrial.onLoadReported(now, replica, load, sentAt);
		}
		else {
			this.usage.onOldLoadReported(load);
		}
	}

	/**
	 * Notes that a replica could not be reached.
	 * @param replica the replica
	 */
	public void recordUnreachable(Replica replica) {
		if (!isOnTarget(replica)) {
			this.unreachableOldReplicas.add(replica.id());
		}
	}

	/**
	 * Takes in another node's note.
	 * @param now the time
	 * @param note the note
	 */
	public void onNote(long now, RolloutNote note) {
		this.evidence.onNote(note, note.elapsedMillis() - (now - this.learnedAt) < MAX_LEARNED_LATER_MILLIS);
		this.clock.onElapsedReported(now, note.elapsedMillis());
		this.routes.onNote(note);
		if (note.provedMillis() > 0) {
			this.rampUp.onProved(note.provedMillis());
		}
		checkEvidence();
	}

	/**
	 * Finds out whether the release is proved. Is to be called some times a second.
	 * @param now the time
	 * @param knowledgeMillis how old what this node knows of the others may be
	 */
	public void update(long now, long knowledgeMillis) {
		this.rampUp.onPeerStateAge(now, knowledgeMillis);
		boolean open = canRampUp(now) && !this.rampUp.isProved()
				&& elapsedRatio(now) <= RampUpSchedule.LATEST_PROOF_RATIO;
		if (open && this.proof.isProved(elapsedRatio(now))) {
			this.rampUp.onProved(elapsedMillis(now));
		}
		updateProvedShare(now);
	}

	private boolean canRampUp(long now) {
		return this.writtenState == RolloutState.RUNNING && this.rampUp.isPeerStateFresh(now) && !isRolledBack();
	}

	/**
	 * Returns the share of all requests since the proof.
	 */
	private double updateProvedShare(long now) {
		if (this.rampUp.isProved() && canRampUp(now)) {
			this.rampUp.raiseShare(elapsedRatio(now));
		}
		return this.rampUp.share();
	}

	/**
	 * Says whether more requests may go to the new release from one moment to the next,
	 * so that news of it are urgent.
	 * @return true from the proof until the end
	 */
	public boolean isRampingUp() {
		return this.rampUp.isProved() && this.writtenState == RolloutState.RUNNING;
	}

	/**
	 * Returns what this node tells the others.
	 * @param now the time
	 * @param node this node's name
	 * @return the note
	 */
	public RolloutNote note(long now, String node) {
		return new RolloutNote(node, this.evidence.ownEvidence(), this.evidence.ownEvidenceByRoute(),
				this.evidence.ownAnswerCount(), elapsedMillis(now), this.routes.newAnswersByRoute(),
				this.loadTrial.answersUnderLoad(), this.loadTrial.triedLoad(), this.rampUp.provedMillis(),
				this.usage.sent(), this.usage.sentToTarget());
	}

	/**
	 * Returns the evidence against the new release, of all nodes.
	 * @return the sum of logarithms, 0 or more
	 */
	public double evidence() {
		return this.evidence.totalEvidence();
	}

	/**
	 * Returns the answers of the new release that are known of.
	 * @return the number
	 */
	public int answerCount() {
		return this.evidence.answerCount();
	}

	/**
	 * Returns how far the new release has come, as this node knows.
	 * @param now the time
	 * @return its figures
	 */
	public RolloutProgress progress(long now) {
		return new RolloutProgress(elapsedRatio(now), this.rampUp.share(), this.usage.sent(), this.usage.sentToTarget(),
				this.proof.triedLoad(), this.usage.oldLoad(), this.proof.answersUnderLoad(),
				this.rampUp.provedMillis());
	}

	/**
	 * Returns the state that is to be written now.
	 * @param now the time
	 * @return the state, or empty if what is written stands
	 */
	public Optional<RolloutState> findDueState(long now) {
		if (this.writtenState == null) {
			return Optional.of(RolloutState.RUNNING);
		}
		if (this.writtenState != RolloutState.RUNNING) {
			return Optional.empty();
		}
		if (this.foundBad || hasExhaustedAllowanceOrTime(now)) {
			return Optional.of(RolloutState.ROLLED_BACK);
		}
		double part = elapsedRatio(now);
		double completeAt = RampUpSchedule.completionRatio(this.rampUp.provedAtRatio());
		boolean late = toRatio(this.clock.elapsedSinceOrderMillis(now)) >= RampUpSchedule.LATEST_COMPLETION_RATIO;
		boolean whole = this.rampUp.share() >= 1 && (part >= completeAt || late);
		return whole ? Optional.of(RolloutState.COMPLETED) : Optional.empty();
	}

	/**
	 * Says whether the release has spent its allowance without a proof, or does not serve
	 * all requests though its time is nearly over.
	 */
	private boolean hasExhaustedAllowanceOrTime(long now) {
		if (!this.rampUp.isProved() && this.usage.isAllowanceSpent(this.evidence.notes())) {
			return true;
		}
		return this.rampUp.share() < 1
				&& toRatio(this.clock.elapsedSinceOrderMillis(now)) >= RampUpSchedule.ROLL_BACK_RATIO;
	}

	/**
	 * Returns the share of the new release among requests like one.
	 */
	private double newReleaseShare(long now, ReleaseKey key) {
		if (this.rampUp.isCutOff(now)) {
			return this.rampUp.share();
		}
		double unproved = key.session() ? RampUpSchedule.unprovedSessionShare(elapsedRatio(now))
				: RampUpSchedule.unprovedRequestShare(elapsedRatio(now), this.routes.hasSmallestPrompts(key.route()));
		return Math.max(unproved, updateProvedShare(now));
	}

	/**
	 * Says whether the old replicas have stopped, though this node has not heard of the
	 * end.
	 */
	private boolean isOldReleaseGone(long now) {
		return elapsedRatio(now) >= RampUpSchedule.EARLIEST_COMPLETION_RATIO
				&& this.unreachableOldReplicas.size() >= MIN_UNREACHABLE_OLD_REPLICAS;
	}

	/**
	 * Notes what a request is like, for the order in which routes are tried.
	 * @param key what decides by which release it is served
	 */
	public void recordRequest(ReleaseKey key) {
		this.routes.recordPrompt(key.route(), key.promptTokens());
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
	public List<Replica> chooseReplicas(long now, List<Replica> replicas, ReleaseKey key, Set<ReplicaId> leftOut,
			int nodes) {
		List<Replica> target = replicasOf(replicas, true);
		List<Replica> former = replicasOf(replicas, false);
		if (isRolledBack() || target.isEmpty()) {
			return former;
		}
		if (this.writtenState == RolloutState.COMPLETED || isOldReleaseGone(now)) {
			return target;
		}
		boolean chosen = isWithinShare(now, key);
		boolean goes = chosen && (updateProvedShare(now) > 0 || key.session());
		if (!goes && !((chosen || former.isEmpty()) && this.usage.canSendToTarget(nodes))) {
			return former;
		}
		return this.loadTrial.chooseReplicas(now, target, leftOut, this.routes.hasSmallestPrompts(key.route()));
	}

	private boolean isWithinShare(long now, ReleaseKey key) {
		return Spread.unit(key.value() + '@' + this.order.target()) < newReleaseShare(now, key);
	}

	/**
	 * Returns the replicas of the release that the roll-out replaces.
	 * @param replicas the replicas to choose from
	 * @return those that are not of its target, none once it is completed
	 */
	List<Replica> oldReplicas(List<Replica> replicas) {
		return (this.writtenState == RolloutState.COMPLETED) ? List.of() : replicasOf(replicas, false);
	}

	private boolean isRolledBack() {
		return this.foundBad || this.writtenState == RolloutState.ROLLED_BACK;
	}

	private List<Replica> replicasOf(List<Replica> replicas, boolean target) {
		return replicas.stream().filter((replica) -> isOnTarget(replica) == target).toList();
	}

	private boolean isOnTarget(Replica replica) {
		return replica.release().equals(this.order.target());
	}

	private void checkEvidence() {
		this.foundBad = this.foundBad || this.evidence.isReleaseBad(this.proof.answersUnderLoad());
	}

	private double elapsedRatio(long now) {
		return toRatio(elapsedMillis(now));
	}

	private double toRatio(long elapsedMillis) {
		return (double) elapsedMillis / this.order.durationMillis();
	}

	private long elapsedMillis(long now) {
		return this.clock.elapsedMillis(now);
	}

}
