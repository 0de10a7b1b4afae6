package org.gullsaddle.serve;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

import org.gullsaddle.base.KeyHash;
import org.gullsaddle.base.LoadReport;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.RolloutOrder;
import org.gullsaddle.fleet.RolloutState;

/**
 * A node's view of one roll-out: decides which share of the traffic the new release gets
 * and whether it is rolled back. Confined to one thread.
 * <p>
 * A request goes to the new release if the hash of its key, which is the same on every
 * node, is below the share. The share of sessions is the same on all routes and, by
 * {@link RolloutClock}, on all nodes, and never falls before the verdict, so that a
 * session changes its release at most once. Sessions move only in the second half of the
 * roll-out: a session that was just served by the old release must keep it, and a node
 * does not know the sessions of its peers. Requests without a session are sent to the new
 * release from the start. Nodes pool their evidence by notes, because with a small share
 * one node sees too few answers to decide in time.
 * <p>
 * Until the release is proved, its requests fill one replica after the other, so that it
 * is tried under load, and they stay within an allowance that the nodes share. Sessions
 * are bounded only by the share that is admitted; if they exceed the allowance all the
 * same, the whole release is rolled back. A release is proved once it has answered well
 * on each route in use and under load, by the reports of all nodes. A release that is not
 * proved in time is rolled back.
 */
public final class Rollout {

	/** Logarithm of the likelihood ratio, 100 to 1, at which a release counts as bad. */
	private static final double EVIDENCE_THRESHOLD = Math.log(100);

	/**
	 * How much earlier a peer may have learned of the order, in milliseconds, for this
	 * node to count as having followed the roll-out from its start.
	 */
	private static final long MAX_LEARNED_LATER_MILLIS = 3000;

	/**
	 * How many replicas of the old release must be unreachable in a row for the old
	 * release to count as stopped, as it is at the end of a roll-out.
	 */
	private static final int MIN_UNREACHABLE_OLD_REPLICAS = 3;

	/**
	 * How many kinds of answer are compared separately; further kinds share one
	 * comparison.
	 */
	private static final int MAX_KINDS = 64;

	private static final AnswerKind OTHER_KIND = new AnswerKind("other", "");

	private final RolloutOrder order;

	private final long revision;

	private final long learnedAt;

	private final RolloutClock clock;

	private final Map<AnswerKind, ReleaseComparison> comparisons = new HashMap<>();

	private final PaceComparison pace = new PaceComparison();

	private final PooledEvidence evidence = new PooledEvidence(EVIDENCE_THRESHOLD);

	private final RouteCoverage routes = new RouteCoverage();

	private final LoadTrial loadTrial;

	private final ReleaseUsage usage;

	private final ReleaseProof proof;

	private final RampUp rampUp;

	/**
	 * When the last slow answer of each replica of the new release arrived, in
	 * milliseconds.
	 */
	private final Map<ReplicaId, Long> slowUntil = new HashMap<>();

	private final Set<ReplicaId> unreachableOldReplicas = new HashSet<>();

	private RolloutState writtenState;

	private long stateRevision;

	private boolean foundBad;

	/**
	 * Creates a roll-out of which this node has just learned.
	 * @param notBefore a time before which it was not ordered
	 * @param now the time
	 * @param order the order
	 * @param revision the store's revision of the order
	 * @param limits the allowance of the release until it is proved
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
	 * Creates a roll-out that was just ordered, with the default limits.
	 * @param now the time
	 * @param order the order
	 * @param revision the revision of the order
	 */
	public Rollout(long now, RolloutOrder order, long revision) {
		this(now, now, order, revision, RolloutLimits.DEFAULT);
	}

	/**
	 * Handles the entry of a replica of the service, which contains when the replica
	 * started.
	 * @param now the time
	 * @param timeOfDay this node's time of day, in Unix milliseconds
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
	 * Returns the state in the store.
	 * @return the state, or empty if none was written for this order
	 */
	public Optional<RolloutState> writtenState() {
		return Optional.ofNullable(this.writtenState);
	}

	/**
	 * Returns the revision of the state, which the next conditional write expects.
	 * @return the revision, 0 if there was none
	 */
	public long stateRevision() {
		return this.stateRevision;
	}

	/**
	 * Handles a state that was read from the store. A state older than the known one,
	 * from a slow read, is ignored.
	 * @param newState the state
	 * @param target the release that the state is about
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
	 * Handles the start of an answer, whose head already says whether it is a failure.
	 * @param replica the replica that answers
	 * @param kind the kind of answer that it is compared with
	 * @param failed whether it is a failure
	 * @param sentAt when the request was sent, in milliseconds
	 * @param firstMillis how long its first part took, in milliseconds
	 * @param expectedMillis how long the old release would have been expected to take, in
	 * milliseconds, or empty if that is not known
	 */
	public void onAnswerStarted(Replica replica, AnswerKind kind, boolean failed, long sentAt, long firstMillis,
			OptionalDouble expectedMillis) {
		if (isOver()) {
			return;
		}
		if (!failed && expectedMillis.isPresent()) {
			recordPace(replica, sentAt + firstMillis, firstMillis, expectedMillis.getAsDouble());
		}
		compareWithMean(replica, kind, failed, sentAt, firstMillis);
	}

	private void recordPace(Replica replica, long at, long firstMillis, double expectedMillis) {
		if (isOnTarget(replica)) {
			this.pace.evidenceOf(replica.id(), at, firstMillis, expectedMillis).ifPresent(this.evidence::recordPace);
			checkEvidence();
		}
		else {
			this.pace.recordOldAnswer(at, firstMillis, expectedMillis);
		}
	}

	private void compareWithMean(Replica replica, AnswerKind kind, boolean failed, long sentAt, long firstMillis) {
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
			// The old release did not run under as much load, so the latencies are not
			// comparable.
			return;
		}
		double evidenceOfAnswer = trial.evidenceOf(failed, firstMillis);
		this.evidence.recordAnswer((known ? kind : OTHER_KIND).route(), evidenceOfAnswer);
		if (underLoad) {
			this.evidence.recordAnswerUnderLoad(evidenceOfAnswer);
		}
		checkEvidence();
	}

	/**
	 * Returns whether a slow answer belongs to a new slow event. All requests that wait
	 * at a replica while it reads one very long prompt are answered late together; that
	 * is one event of one replica and hardly evidence against the release.
	 */
	private boolean isNewSlowEvent(ReplicaId replica, long sentAt, long firstMillis) {
		if (sentAt < this.slowUntil.getOrDefault(replica, Long.MIN_VALUE)) {
			return false;
		}
		this.slowUntil.put(replica, sentAt + firstMillis);
		return true;
	}

	/**
	 * Counts a request that this node sent to a replica.
	 * @param replica the replica
	 */
	public void recordSent(Replica replica) {
		this.usage.sent(isOnTarget(replica));
	}

	/**
	 * Handles the load that a replica reported.
	 * @param now the time
	 * @param replica the replica
	 * @param load its load
	 * @param sentAt when the request was sent whose answer reported it
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
	 * Records that a replica could not be reached.
	 * @param replica the replica
	 */
	public void recordUnreachable(Replica replica) {
		if (!isOnTarget(replica)) {
			this.unreachableOldReplicas.add(replica.id());
		}
	}

	/**
	 * Handles a peer's note.
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
	 * Checks whether the release is proved and raises its share. Must be called several
	 * times a second.
	 * @param now the time
	 * @param peerStateAgeMillis the greatest possible age of the peers' state that this
	 * node knows
	 */
	public void update(long now, long peerStateAgeMillis) {
		this.rampUp.onPeerStateAge(now, peerStateAgeMillis);
		boolean canBeProved = canRampUp(now) && !this.rampUp.isProved()
				&& elapsedRatio(now) <= RampUpSchedule.LATEST_PROOF_RATIO;
		if (canBeProved && this.proof.isProved(elapsedRatio(now))) {
			this.rampUp.onProved(elapsedMillis(now));
		}
		updateProvedShare(now);
	}

	private boolean canRampUp(long now) {
		return this.writtenState == RolloutState.RUNNING && this.rampUp.isPeerStateFresh(now) && !isRolledBack();
	}

	/**
	 * Raises the share of all requests since the proof if that is allowed now, and
	 * returns it.
	 */
	private double updateProvedShare(long now) {
		if (this.rampUp.isProved() && canRampUp(now)) {
			this.rampUp.raiseShare(elapsedRatio(now));
		}
		return this.rampUp.share();
	}

	/**
	 * Returns whether the share of the new release may rise at any moment, so that nodes
	 * must exchange notes quickly.
	 * @return true from the proof until the end
	 */
	public boolean isRampingUp() {
		return this.rampUp.isProved() && this.writtenState == RolloutState.RUNNING;
	}

	/**
	 * Returns the note with this node's figures for its peers.
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
	 * Returns the evidence against the new release from all nodes.
	 * @return the sum of logarithms, 0 or more
	 */
	public double evidence() {
		return this.evidence.totalEvidence();
	}

	/**
	 * Returns the strongest evidence against the new release: from all requests, from
	 * those of one route, from its replicas under load, or from late answers.
	 * @return the sum of logarithms, 0 or more
	 */
	public double strongestEvidence() {
		return this.evidence.maxEvidence();
	}

	/**
	 * Returns what the proof of the release lacks.
	 * @param now the time
	 * @return the name of the lacking part, empty if the release is proved
	 */
	public String proofGap(long now) {
		return this.rampUp.isProved() ? ""
				: this.proof.findGap(elapsedRatio(now)).map((gap) -> gap.name().toLowerCase(Locale.ROOT)).orElse("");
	}

	/**
	 * Returns the evidence of when answers of the new release began, of all nodes.
	 * @return the sum of logarithms, negative if it is in favour of the release
	 */
	public double pace() {
		return this.evidence.pace().orElse(0);
	}

	/**
	 * Returns how many answers of the new release this node and its peers have seen.
	 * @return the number
	 */
	public int answerCount() {
		return this.evidence.answerCount();
	}

	/**
	 * Returns the progress of the roll-out as known to this node.
	 * @param now the time
	 * @return its figures
	 */
	public RolloutProgress progress(long now) {
		return new RolloutProgress(elapsedRatio(now), this.rampUp.share(), this.usage.sent(), this.usage.sentToTarget(),
				this.proof.triedLoad(), this.usage.oldLoad(), this.proof.answersUnderLoad(),
				this.rampUp.provedMillis());
	}

	/**
	 * Returns the state that must be written now.
	 * @param now the time
	 * @return the state, or empty if the written state is current
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
		double elapsed = elapsedRatio(now);
		double completeAt = RampUpSchedule.completionRatio(this.rampUp.provedAtRatio());
		boolean overdue = toRatio(this.clock.elapsedSinceOrderMillis(now)) >= RampUpSchedule.LATEST_COMPLETION_RATIO;
		boolean servesAll = this.rampUp.share() >= 1 && (elapsed >= completeAt || overdue);
		return servesAll ? Optional.of(RolloutState.COMPLETED) : Optional.empty();
	}

	/**
	 * Returns whether the release has exceeded its allowance without a proof, or does not
	 * serve all requests although its time is nearly over.
	 */
	private boolean hasExhaustedAllowanceOrTime(long now) {
		if (!this.rampUp.isProved() && this.usage.isAllowanceSpent(this.evidence.notes())) {
			return true;
		}
		return this.rampUp.share() < 1
				&& toRatio(this.clock.elapsedSinceOrderMillis(now)) >= RampUpSchedule.ROLL_BACK_RATIO;
	}

	/**
	 * Returns the share of the new release among requests of the same route that have, or
	 * do not have, a session like this one.
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
	 * Returns whether the old replicas seem to have stopped although this node has not
	 * read that the roll-out is completed.
	 */
	private boolean isOldReleaseGone(long now) {
		return elapsedRatio(now) >= RampUpSchedule.EARLIEST_COMPLETION_RATIO
				&& this.unreachableOldReplicas.size() >= MIN_UNREACHABLE_OLD_REPLICAS;
	}

	/**
	 * Records the prompt size of a request; routes with the smallest prompts are tried
	 * first.
	 * @param key the key that decides its release
	 */
	public void recordRequest(ReleaseKey key) {
		this.routes.recordPrompt(key.route(), key.promptTokens());
	}

	/**
	 * Chooses the replicas that a request may be sent to.
	 * @param now the time
	 * @param replicas the replicas of the service
	 * @param key the key that decides its release
	 * @param excluded replicas that it may not be sent to now
	 * @param nodes how many nodes share the allowance of an unproved release, 0 if that
	 * is not known
	 * @return the replicas of its release; those of the other release if it has none,
	 * unless the other release is bad or has used up its allowance
	 */
	public List<Replica> chooseReplicas(long now, List<Replica> replicas, ReleaseKey key, Set<ReplicaId> excluded,
			int nodes) {
		List<Replica> targetReplicas = replicasOf(replicas, true);
		List<Replica> oldReplicas = replicasOf(replicas, false);
		if (isRolledBack() || targetReplicas.isEmpty()) {
			return oldReplicas;
		}
		if (this.writtenState == RolloutState.COMPLETED || isOldReleaseGone(now)) {
			return targetReplicas;
		}
		boolean withinShare = isWithinShare(now, key);
		boolean admitted = withinShare && (updateProvedShare(now) > 0 || key.session());
		if (!admitted && !((withinShare || oldReplicas.isEmpty()) && this.usage.canSendToTarget(nodes))) {
			return oldReplicas;
		}
		return this.loadTrial.chooseReplicas(now, targetReplicas, excluded,
				this.routes.hasSmallestPrompts(key.route()));
	}

	private boolean isWithinShare(long now, ReleaseKey key) {
		return KeyHash.toUnitInterval(key.value() + '@' + this.order.target()) < newReleaseShare(now, key);
	}

	/**
	 * Returns the replicas of the release that the roll-out replaces.
	 * @param replicas the replicas to choose from
	 * @return the replicas that do not run the target release; none once the roll-out is
	 * completed
	 */
	List<Replica> oldReplicas(List<Replica> replicas) {
		return (this.writtenState == RolloutState.COMPLETED) ? List.of() : replicasOf(replicas, false);
	}

	/**
	 * Returns whether the roll-out has ended: the written state is final for all nodes,
	 * whatever this node found or finds. Once a release is completed, the old replicas
	 * are stopped, so failures of the only release left are no reason to leave it.
	 */
	private boolean isOver() {
		return this.writtenState == RolloutState.COMPLETED || this.writtenState == RolloutState.ROLLED_BACK;
	}

	private boolean isRolledBack() {
		return isOver() ? this.writtenState == RolloutState.ROLLED_BACK : this.foundBad;
	}

	private List<Replica> replicasOf(List<Replica> replicas, boolean onTarget) {
		return replicas.stream().filter((replica) -> isOnTarget(replica) == onTarget).toList();
	}

	private boolean isOnTarget(Replica replica) {
		return replica.release().equals(this.order.target());
	}

	private void checkEvidence() {
		this.foundBad = this.foundBad || (!isOver() && this.evidence.isReleaseBad(this.proof.answersUnderLoad()));
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
