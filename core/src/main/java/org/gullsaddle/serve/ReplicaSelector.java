package org.gullsaddle.serve;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.gullsaddle.base.LoadReport;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;

/**
 * Picks the replica that a request goes to: the one where least of its worth is likely
 * lost, see {@link Loss}. Confined to one thread.
 */
public final class ReplicaSelector {

	/**
	 * How much longer than expected a replica may take to read before it counts as
	 * unresponsive.
	 */
	private static final double MAX_READ_RATIO = 2;

	/** The part of an engine's memory that is left for kept parts. */
	private static final double CACHE_RATIO = 0.5;

	/** How many replicas are asked for their load before one gets a request. */
	private static final int MAX_QUERIED_REPLICAS = 3;

	/**
	 * How old what a replica told may be, in its answers too, for it not to be asked, in
	 * milliseconds: about as long as a queue stays as it is. Each question is paid for,
	 * and a node that sees many answers of each replica knows enough.
	 */
	private static final long MAX_REPORT_AGE_MILLIS = 1500;

	/** How fast the usual work of a request is learned. */
	private static final double WORK_SMOOTHING = 0.05;

	private final Map<ReplicaId, ReplicaState> states = new HashMap<>();

	/**
	 * How much each model usually has to read of a prompt, in tokens of the smallest.
	 */
	private final Map<String, Double> meanWork = new HashMap<>();

	private final ModelSizePartition partition;

	private final DelayEstimator delayEstimator = new DelayEstimator();

	private final SlowdownTracker slowdowns = new SlowdownTracker();

	private final NodeLocation location;

	private final List<Loss> losses;

	/**
	 * Makes a picker.
	 * @param here where this node is
	 */
	public ReplicaSelector(NodeLocation here) {
		this(here, Loss.ALL);
	}

	/**
	 * Makes a picker that weighs some losses only.
	 * @param here where this node is
	 * @param losses the losses
	 */
	public ReplicaSelector(NodeLocation here, List<Loss> losses) {
		this.location = here;
		this.partition = new ModelSizePartition(here);
		this.losses = List.copyOf(losses);
	}

	/**
	 * Keeps models of different size on engines of their own from now on, as room is
	 * short.
	 */
	public void separateModelSizes() {
		this.partition.separateStrictly();
	}

	/**
	 * Picks a replica.
	 * @param now the time in milliseconds
	 * @param usable the replicas that take new work
	 * @param tried those that refused or failed the request already
	 * @param task what it is to do
	 * @return the replica, or empty if none is left
	 */
	public Optional<ReplicaChoice> chooseReplica(long now, List<Replica> usable, Set<ReplicaId> tried,
			ReplicaTask task) {
		return choices(now, usable, tried, task).min(Comparator.comparingDouble(ReplicaChoice::loss));
	}

	/**
	 * Returns the replicas to ask for their load before one is picked for a task: the
	 * best of the region that told nothing lately, if the task is a larger model's. A
	 * replica of another region takes longer to tell than is waited for.
	 * @param now the time in milliseconds
	 * @param usable the replicas that take new work
	 * @param tried those that refused or failed the request already
	 * @param task what it is to do
	 * @return the replicas, none if what is known is enough
	 */
	public List<Replica> replicasToQuery(long now, List<Replica> usable, Set<ReplicaId> tried, ReplicaTask task) {
		if (task.slowdown() <= 1 && (task.isPlainCall() || !this.partition.isStrict())) {
			return List.of();
		}
		return bestChoices(now, usable, tried, task, MAX_QUERIED_REPLICAS).stream()
			.filter((choice) -> !choice.load().otherRegion())
			.map(ReplicaChoice::replica)
			.filter((replica) -> !hasReportWithin(now, replica, MAX_REPORT_AGE_MILLIS))
			.toList();
	}

	/**
	 * Returns the replicas with the least loss by what is known here.
	 * @param now the time in milliseconds
	 * @param usable the replicas that take new work
	 * @param tried those that refused or failed the request already
	 * @param task what it is to do
	 * @param most how many to return at most
	 * @return the replicas, the best first
	 */
	public List<ReplicaChoice> bestChoices(long now, List<Replica> usable, Set<ReplicaId> tried, ReplicaTask task,
			int most) {
		return choices(now, usable, tried, task).sorted(Comparator.comparingDouble(ReplicaChoice::loss))
			.limit(most)
			.toList();
	}

	private Stream<ReplicaChoice> choices(long now, List<Replica> usable, Set<ReplicaId> tried, ReplicaTask task) {
		List<ReplicaState> able = usable.stream()
			.filter((replica) -> !tried.contains(replica.id()))
			.map(this::stateOf)
			.toList();
		List<ReplicaState> sound = able.stream().filter((state) -> !state.isEjected(now)).toList();
		Set<ReplicaId> away = this.partition.nonDedicatedReplicas(usable, task);
		PeerLoad others = PeerLoad.of(now, able, away);
		double meanRequests = able.stream()
			.mapToDouble((state) -> state.estimateRequests(now, others.meanFor(state).requests()))
			.average()
			.orElse(0);
		return eligibleStates(able, sound, away).stream()
			.map((state) -> createCandidate(now, state, task, others, meanRequests))
			.map(this::createChoice);
	}

	/**
	 * Returns the replicas to choose among: the sound ones, if there are any, and of
	 * these the homes only where sizes are kept apart.
	 */
	private List<ReplicaState> eligibleStates(List<ReplicaState> able, List<ReplicaState> sound, Set<ReplicaId> away) {
		List<ReplicaState> usual = sound.isEmpty() ? able : sound;
		if (!this.partition.isStrict()) {
			return usual;
		}
		List<ReplicaState> home = usual.stream().filter((state) -> !away.contains(state.replica().id())).toList();
		return home.isEmpty() ? usual : home;
	}

	private ReplicaCandidate createCandidate(long now, ReplicaState state, ReplicaTask task, PeerLoad others,
			double meanRequests) {
		PeerLoad.MeanLoad usual = others.meanFor(state);
		Replica replica = state.replica();
		Distance reach = this.location.distance(replica.dataCenter());
		double requests = state.estimateRequests(now, usual.requests());
		double before = task.isPlainCall() ? estimateQueueRounds(replica, requests) : state.estimateBacklogTokens(now,
				usual.unreadRequests(), this.meanWork.getOrDefault(task.model(), 0.0));
		EngineLoad load = new EngineLoad(unreadTokens(state, task), before, requests, reach == Distance.OTHER_REGION);
		DelayModel delays = this.delayEstimator.modelFor(replica, task);
		DelayEstimate first = delays.estimate(load);
		Slowdown pace = this.slowdowns.estimate(now, state, first.expectedMillis());
		return new ReplicaCandidate(replica, task, load, first.scaledBy(pace.factor()),
				pace.factor() * delays.readMillis(load.unreadTokens()), pace, reach, state.failureShare(),
				others.isDedicated(state), meanRequests);
	}

	/**
	 * Returns how many times all slots must become free before one is for a new request.
	 */
	private static double estimateQueueRounds(Replica replica, double requests) {
		int slots = Math.max(1, replica.slots());
		return Math.max(0, requests - slots + 1) / slots;
	}

	private ReplicaChoice createChoice(ReplicaCandidate candidate) {
		double loss = 0;
		for (Loss each : this.losses) {
			loss += each.estimate(candidate);
		}
		return new ReplicaChoice(candidate.replica(), candidate.load(), candidate.delay(), candidate.readMillis(),
				candidate.slowdown(), loss);
	}

	/**
	 * Notes that a request was sent.
	 * @param now the time in milliseconds
	 * @param choice where to
	 * @param task what the replica is to do
	 */
	public void onSent(long now, ReplicaChoice choice, ReplicaTask task) {
		this.partition.recordWork(now, task, choice.unreadTokens());
		long kept = Math.round(task.cacheTokens() * CACHE_RATIO);
		double work = choice.unreadTokens() * task.slowdown();
		stateOf(choice.replica()).onSent(task, work, kept);
		this.meanWork.merge(task.model(), work, (usual, next) -> usual + WORK_SMOOTHING * (next - usual));
	}

	/**
	 * Notes that the replica has read the prompt, or gave the request up.
	 * @param choice where it was sent
	 * @param task what the replica was to do
	 */
	public void onPromptRead(ReplicaChoice choice, ReplicaTask task) {
		stateOf(choice.replica()).onPromptRead(choice.unreadTokens() * task.slowdown());
	}

	/**
	 * Learns how long a request took to begin its answer. What the answer tells of the
	 * replica is taken in before, as what was known until then counts less by its age.
	 * @param choice where it was sent
	 * @param task what the replica is to do
	 * @param millis the time from sending to the first event, or to the end without one,
	 * in milliseconds
	 * @param begun whether it began
	 */
	public void recordFirstEventDelay(ReplicaChoice choice, ReplicaTask task, long millis, boolean begun) {
		double usual = millis / choice.slowdown().factor();
		if (begun) {
			this.delayEstimator.modelFor(choice.replica(), task).recordFirstEvent(choice.load(), usual);
		}
		else {
			this.delayEstimator.modelFor(choice.replica(), task).recordNoFirstEvent(choice.load(), usual);
		}
		this.slowdowns.recordAnswerDelay(stateOf(choice.replica()), choice, millis, begun);
	}

	/**
	 * Notes that bytes came from a replica.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 */
	public void onBytes(long now, Replica replica) {
		stateOf(replica).onBytes(now);
	}

	/**
	 * Says whether a replica is unresponsive: nothing came from it, on any connection,
	 * for longer than it may take over the prompt that it was given.
	 * @param now the time in milliseconds
	 * @param choice where a request was sent
	 * @param since since when that request waits for bytes, in milliseconds
	 * @param reading whether the replica may still be reading the prompt; once its answer
	 * has begun, a long prompt is no excuse for silence
	 * @param patienceMillis how long a replica that has nothing to read may be silent
	 * @return true if the request is better tried elsewhere
	 */
	public boolean isUnresponsive(long now, ReplicaChoice choice, long since, boolean reading, long patienceMillis) {
		return now - silentSince(choice, since) > maxSilenceMillis(choice, reading, patienceMillis);
	}

	/**
	 * Returns since when nothing came from a replica, on any connection.
	 * @param choice where a request was sent
	 * @param since since when that request waits for bytes, in milliseconds
	 * @return the time in milliseconds
	 */
	public long silentSince(ReplicaChoice choice, long since) {
		return Math.max(since, stateOf(choice.replica()).lastBytesAt());
	}

	/**
	 * Returns how long a replica may be silent that was given a prompt.
	 * @param choice where a request was sent
	 * @param reading whether the replica may still be reading the prompt
	 * @param patienceMillis how long a replica that has nothing to read may be silent
	 * @return the time in milliseconds
	 */
	public long maxSilenceMillis(ReplicaChoice choice, boolean reading, long patienceMillis) {
		return patienceMillis + (reading ? Math.round(MAX_READ_RATIO * choice.readMillis()) : 0);
	}

	/**
	 * Returns when an answer would begin at one replica if the request came there now.
	 * @param now the time in milliseconds
	 * @param usable the replicas that take new work
	 * @param replica the replica
	 * @param task what it is to do
	 * @return the delay
	 */
	public DelayEstimate estimateDelay(long now, List<Replica> usable, Replica replica, ReplicaTask task) {
		List<ReplicaState> states = usable.stream().map(this::stateOf).toList();
		PeerLoad others = PeerLoad.of(now, states, this.partition.nonDedicatedReplicas(usable, task));
		return createCandidate(now, stateOf(replica), task, others, 0).delay();
	}

	/**
	 * Notes how an attempt ended.
	 * @param now the time in milliseconds
	 * @param choice where it was sent
	 * @param end its end
	 */
	public void onAttemptEnded(long now, ReplicaChoice choice, AttemptEnd end) {
		ReplicaState state = stateOf(choice.replica());
		state.onEnded();
		switch (end) {
			case AttemptEnd.Answered answered -> {
				if (answered.failure()) {
					state.onFailure(now);
				}
				else {
					state.onSuccess();
				}
			}
			case AttemptEnd.NotRun notRun -> {
				if (notRun.unreachable()) {
					state.onUnreachable(now);
				}
			}
			case AttemptEnd.Broken broken -> state.onFailure(now);
			case AttemptEnd.Withdrawn withdrawn -> {
			}
			case AttemptEnd.Dropped dropped -> state.onSuccess();
		}
	}

	/**
	 * Takes in what a replica says of its load.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @param report the load
	 */
	public void onLoadReport(long now, Replica replica, LoadReport report) {
		stateOf(replica).onLoadReport(now, report);
	}

	/**
	 * Takes in what an engine says of itself.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @param report its load
	 */
	public void onLoadReport(long now, Replica replica, EngineReport report) {
		stateOf(replica).onLoadReport(now, report);
	}

	/**
	 * Takes in how long work takes at a replica.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @param percent how long work takes there now, 100 as usual
	 */
	public void onSlowdownReport(long now, Replica replica, int percent) {
		this.slowdowns.onReported(now, stateOf(replica), percent);
	}

	/**
	 * Returns how many replicas told a pace.
	 * @return the number
	 */
	public int countReportedSlowdowns() {
		return (int) this.states.values().stream().filter((state) -> state.slowdown().reported()).count();
	}

	/**
	 * Says whether a replica told its load lately, by itself or in an answer.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @return true if what it told still holds
	 */
	public boolean hasRecentReport(long now, Replica replica) {
		return hasReportWithin(now, replica, MAX_REPORT_AGE_MILLIS);
	}

	boolean hasReportWithin(long now, Replica replica, long millis) {
		return stateOf(replica).peerRequests().ageMillis(now) <= millis;
	}

	/**
	 * Notes that a replica could not be reached, though no request was sent to it.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 */
	public void onUnreachable(long now, Replica replica) {
		stateOf(replica).onUnreachable(now);
	}

	/**
	 * Notes that a replica is silent for too long, though its request cannot leave it.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 */
	public void onSilent(long now, Replica replica) {
		stateOf(replica).onFailure(now);
	}

	/**
	 * Forgets replicas that are gone.
	 * @param known those to remember
	 */
	public void retain(Set<ReplicaId> known) {
		this.states.keySet().retainAll(known);
		this.slowdowns.retain(
				this.states.values().stream().map((state) -> state.replica().service()).collect(Collectors.toSet()));
	}

	private static int unreadTokens(ReplicaState state, ReplicaTask task) {
		return Math.max(0, task.prompt().inputTokens() - state.cachedTokens(task));
	}

	private ReplicaState stateOf(Replica replica) {
		ReplicaState state = this.states.get(replica.id());
		if (state == null || !state.replica().sameProcess(replica)) {
			state = new ReplicaState(replica);
			this.states.put(replica.id(), state);
		}
		state.update(replica);
		return state;
	}

}
