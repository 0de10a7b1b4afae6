package org.gullsaddle.serve;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.gullsaddle.base.LoadReport;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;

/**
 * Selects the replica that a request is sent to: the one with the least expected loss,
 * see {@link Loss}. Confined to one thread.
 */
public final class ReplicaSelector {

	/**
	 * How many times the expected reading time a replica may take before it counts as
	 * unresponsive.
	 */
	private static final double MAX_READ_RATIO = 2;

	/** The share of an engine's memory that is assumed to hold cached prompt parts. */
	private static final double CACHE_RATIO = 0.5;

	/** How many replicas are queried for their load before one gets a request. */
	private static final int MAX_QUERIED_REPLICAS = 3;

	/**
	 * How old a replica's last load report, in an answer or on request, may be before the
	 * replica is queried: queues stay about the same for this long. Each query is paid
	 * for, and a node that sees many answers of each replica needs none.
	 */
	private static final long MAX_REPORT_AGE_MILLIS = 1500;

	/** The weight of the latest request in the mean work of a model. */
	private static final double WORK_SMOOTHING = 0.05;

	/** Prompt parts that are tracked over all replicas. */
	private static final int MAX_CACHED_PARTS = 16_384;

	private final Map<ReplicaId, ReplicaState> states = new HashMap<>();

	private final PrefixCaches caches = new PrefixCaches(MAX_CACHED_PARTS);

	/**
	 * The mean work of a request by model, in tokens of the smallest model.
	 */
	private final Map<String, Double> meanWork = new HashMap<>();

	private final ModelSizePartition partition;

	private final DelayEstimator delayEstimator = new DelayEstimator();

	private final SlowdownTracker slowdowns = new SlowdownTracker();

	private final NodeLocation location;

	private final List<Loss> losses;

	/**
	 * Creates a selector that considers all losses.
	 * @param location this node's location
	 */
	public ReplicaSelector(NodeLocation location) {
		this(location, Loss.ALL);
	}

	/**
	 * Creates a selector that considers some losses only.
	 * @param location this node's location
	 * @param losses the losses
	 */
	public ReplicaSelector(NodeLocation location, List<Loss> losses) {
		this.location = location;
		this.partition = new ModelSizePartition(location);
		this.losses = List.copyOf(losses);
	}

	/**
	 * Runs models of different sizes on separate engines from now on, because capacity is
	 * short.
	 */
	public void separateModelSizes() {
		this.partition.separateStrictly();
	}

	/**
	 * Chooses the replica with the least expected loss.
	 * @param now the time in milliseconds
	 * @param eligible the replicas that take new work
	 * @param tried those that refused or failed the request already
	 * @param task the task
	 * @return the replica, or empty if none is left
	 */
	public Optional<ReplicaChoice> chooseReplica(long now, List<Replica> eligible, Set<ReplicaId> tried,
			ReplicaTask task) {
		return choices(now, eligible, tried, task).min(Comparator.comparingDouble(ReplicaChoice::loss));
	}

	/**
	 * Returns the replicas to query for their load before one is chosen for a task: the
	 * best ones in this region without a recent report, if the task runs a larger model.
	 * A replica in another region would answer later than the request waits.
	 * @param now the time in milliseconds
	 * @param eligible the replicas that take new work
	 * @param tried those that refused or failed the request already
	 * @param task the task
	 * @return the replicas, none if enough is known
	 */
	public List<Replica> replicasToQuery(long now, List<Replica> eligible, Set<ReplicaId> tried, ReplicaTask task) {
		if (task.slowdown() <= 1 && (task.isPlainCall() || !this.partition.isStrict())) {
			return List.of();
		}
		return bestChoices(now, eligible, tried, task, MAX_QUERIED_REPLICAS).stream()
			.filter((choice) -> !choice.load().otherRegion())
			.map(ReplicaChoice::replica)
			.filter((replica) -> !hasReportWithin(now, replica, MAX_REPORT_AGE_MILLIS))
			.toList();
	}

	/**
	 * Returns the replicas with the least expected loss.
	 * @param now the time in milliseconds
	 * @param eligible the replicas that take new work
	 * @param tried those that refused or failed the request already
	 * @param task the task
	 * @param limit how many to return at most
	 * @return the replicas, the best first
	 */
	public List<ReplicaChoice> bestChoices(long now, List<Replica> eligible, Set<ReplicaId> tried, ReplicaTask task,
			int limit) {
		return choices(now, eligible, tried, task).sorted(Comparator.comparingDouble(ReplicaChoice::loss))
			.limit(limit)
			.toList();
	}

	private Stream<ReplicaChoice> choices(long now, List<Replica> eligible, Set<ReplicaId> tried, ReplicaTask task) {
		List<ReplicaState> available = eligible.stream()
			.filter((replica) -> !tried.contains(replica.id()))
			.map(this::stateOf)
			.toList();
		List<ReplicaState> healthy = available.stream().filter((state) -> !state.isEjected(now)).toList();
		Set<ReplicaId> nonDedicated = this.partition.nonDedicatedReplicas(eligible, task);
		PeerLoad peerLoad = PeerLoad.of(now, available, nonDedicated);
		double meanRequests = available.stream()
			.mapToDouble((state) -> state.estimateRequests(now, peerLoad.meanFor(state).requests()))
			.average()
			.orElse(0);
		return eligibleStates(available, healthy, nonDedicated).stream()
			.map((state) -> createCandidate(now, state, task, peerLoad, meanRequests))
			.map(this::createChoice);
	}

	/**
	 * Returns the replicas to choose among: the ones that are not ejected, if there are
	 * any, and of these only the dedicated ones if sizes are separated strictly.
	 */
	private List<ReplicaState> eligibleStates(List<ReplicaState> available, List<ReplicaState> healthy,
			Set<ReplicaId> nonDedicated) {
		List<ReplicaState> candidates = healthy.isEmpty() ? available : healthy;
		if (!this.partition.isStrict()) {
			return candidates;
		}
		List<ReplicaState> dedicated = candidates.stream()
			.filter((state) -> !nonDedicated.contains(state.replica().id()))
			.toList();
		return dedicated.isEmpty() ? candidates : dedicated;
	}

	private ReplicaCandidate createCandidate(long now, ReplicaState state, ReplicaTask task, PeerLoad peerLoad,
			double meanRequests) {
		PeerLoad.MeanLoad meanLoad = peerLoad.meanFor(state);
		Replica replica = state.replica();
		Distance distance = this.location.distance(replica.dataCenter());
		double requests = state.estimateRequests(now, meanLoad.requests());
		double backlog = task.isPlainCall() ? estimateQueueRounds(replica, requests) : state.estimateBacklogTokens(now,
				meanLoad.unreadRequests(), this.meanWork.getOrDefault(task.model(), 0.0));
		EngineLoad load = new EngineLoad(unreadTokens(state, task), backlog, requests,
				distance == Distance.OTHER_REGION);
		DelayModel delayModel = this.delayEstimator.modelFor(replica, task);
		DelayEstimate firstEvent = delayModel.estimate(load);
		Slowdown slowdown = this.slowdowns.estimate(now, state, firstEvent.expectedMillis());
		return new ReplicaCandidate(replica, task, load, firstEvent.scaledBy(slowdown.factor()),
				slowdown.factor() * delayModel.readMillis(load.unreadTokens()), slowdown, distance,
				state.failureShare(), peerLoad.isDedicated(state), meanRequests);
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
	 * Records that a request was sent.
	 * @param now the time in milliseconds
	 * @param choice the replica
	 * @param task the task
	 */
	public void onSent(long now, ReplicaChoice choice, ReplicaTask task) {
		this.partition.recordWork(now, task, choice.unreadTokens());
		long cacheCapacity = Math.round(task.cacheTokens() * CACHE_RATIO);
		double work = choice.unreadTokens() * task.slowdown();
		stateOf(choice.replica()).onSent(task, work, cacheCapacity, this.caches);
		this.meanWork.merge(task.model(), work, (mean, next) -> mean + WORK_SMOOTHING * (next - mean));
	}

	/**
	 * Records that the replica has read the prompt, or that the request was given up.
	 * @param choice the replica
	 * @param task the task
	 */
	public void onPromptRead(ReplicaChoice choice, ReplicaTask task) {
		stateOf(choice.replica()).onPromptRead(choice.unreadTokens() * task.slowdown());
	}

	/**
	 * Estimates when an answer would have begun with any release but one, at the load
	 * that its replica was known to have. Slowdowns that replicas report are included,
	 * those that were learned from their answers are not.
	 * @param excluded the release that is left out
	 * @param choice the choice of the replica
	 * @param model the model that answers
	 * @return the expected delay in milliseconds, or empty if no other release is known
	 */
	public OptionalDouble expectedMillisWithout(String excluded, ReplicaChoice choice, String model) {
		OptionalDouble expected = this.delayEstimator.expectedMillisWithout(excluded, choice.replica().service(), model,
				choice.load());
		return expected.isEmpty() ? expected : OptionalDouble.of(choice.slowdown().reported() * expected.getAsDouble());
	}

	/**
	 * Records how long a request waited for its first event. Load and slowdown that the
	 * answer reports must be recorded before, since older reports count less.
	 * @param choice the replica
	 * @param task the task
	 * @param millis the time from sending to the first event, or to the end without one,
	 * in milliseconds
	 * @param begun whether the answer began
	 */
	public void recordFirstEventDelay(ReplicaChoice choice, ReplicaTask task, long millis, boolean begun) {
		double usualMillis = millis / choice.slowdown().factor();
		if (begun) {
			this.delayEstimator.modelFor(choice.replica(), task).recordFirstEvent(choice.load(), usualMillis);
		}
		else {
			this.delayEstimator.modelFor(choice.replica(), task).recordNoFirstEvent(choice.load(), usualMillis);
		}
		this.slowdowns.recordAnswerDelay(stateOf(choice.replica()), choice, millis, begun);
	}

	/**
	 * Records that bytes were received from a replica.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 */
	public void onBytes(long now, Replica replica) {
		stateOf(replica).onBytes(now);
	}

	/**
	 * Returns whether a replica is unresponsive: no connection received anything from it
	 * for longer than it may take to read the prompt.
	 * @param now the time in milliseconds
	 * @param choice the replica
	 * @param since since when the request waits for bytes, in milliseconds
	 * @param reading whether the replica may still be reading the prompt; once the answer
	 * has begun, a long prompt does not explain silence
	 * @param patienceMillis how long a replica that has nothing to read may be silent
	 * @return true if the request should be tried elsewhere
	 */
	public boolean isUnresponsive(long now, ReplicaChoice choice, long since, boolean reading, long patienceMillis) {
		return now - silentSince(choice, since) > maxSilenceMillis(choice, reading, patienceMillis);
	}

	/**
	 * Returns since when nothing was received from a replica, on any connection.
	 * @param choice the replica
	 * @param since since when the request waits for bytes, in milliseconds
	 * @return the time in milliseconds
	 */
	public long silentSince(ReplicaChoice choice, long since) {
		return Math.max(since, stateOf(choice.replica()).lastBytesAt());
	}

	/**
	 * Returns how long a replica may be silent.
	 * @param choice the replica
	 * @param reading whether the replica may still be reading the prompt
	 * @param patienceMillis how long a replica that has nothing to read may be silent
	 * @return the time in milliseconds
	 */
	public long maxSilenceMillis(ReplicaChoice choice, boolean reading, long patienceMillis) {
		return patienceMillis + (reading ? Math.round(MAX_READ_RATIO * choice.readMillis()) : 0);
	}

	/**
	 * Estimates when an answer would begin if the request were sent to a replica now.
	 * @param now the time in milliseconds
	 * @param eligible the replicas that take new work
	 * @param replica the replica
	 * @param task the task
	 * @return the estimate
	 */
	public DelayEstimate estimateDelay(long now, List<Replica> eligible, Replica replica, ReplicaTask task) {
		List<ReplicaState> states = eligible.stream().map(this::stateOf).toList();
		PeerLoad peerLoad = PeerLoad.of(now, states, this.partition.nonDedicatedReplicas(eligible, task));
		return createCandidate(now, stateOf(replica), task, peerLoad, 0).delay();
	}

	/**
	 * Records how an attempt ended.
	 * @param now the time in milliseconds
	 * @param choice the replica
	 * @param end how the attempt ended
	 */
	public void onAttemptEnded(long now, ReplicaChoice choice, AttemptEnd end) {
		ReplicaState state = stateOf(choice.replica());
		state.onEnded();
		switch (end) {
			case AttemptEnd.Answered answered -> {
				if (answered.hasFailed()) {
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
	 * Records the load that a replica reported in an answer.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @param report the load
	 */
	public void onLoadReport(long now, Replica replica, LoadReport report) {
		stateOf(replica).onLoadReport(now, report);
	}

	/**
	 * Records the load that an engine reported when it was queried.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @param report the load
	 */
	public void onLoadReport(long now, Replica replica, EngineReport report) {
		stateOf(replica).onLoadReport(now, report);
	}

	/**
	 * Records the slowdown that a replica reported.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @param percent how long work takes there now, 100 as usual
	 */
	public void onSlowdownReport(long now, Replica replica, int percent) {
		this.slowdowns.onReported(now, stateOf(replica), percent);
	}

	/**
	 * Returns how many replicas reported a slowdown.
	 * @return the number
	 */
	public int countReportedSlowdowns() {
		return (int) this.states.values().stream().filter((state) -> state.slowdown().hasReported()).count();
	}

	/**
	 * Returns whether a replica reported its load recently, when queried or in an answer.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 * @return true if the report is recent enough
	 */
	public boolean hasRecentReport(long now, Replica replica) {
		return hasReportWithin(now, replica, MAX_REPORT_AGE_MILLIS);
	}

	boolean hasReportWithin(long now, Replica replica, long millis) {
		return stateOf(replica).peerRequests().ageMillis(now) <= millis;
	}

	/**
	 * Records that a replica could not be reached, though no request was sent to it.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 */
	public void onUnreachable(long now, Replica replica) {
		stateOf(replica).onUnreachable(now);
	}

	/**
	 * Records that a replica has been silent for too long, though its request cannot be
	 * moved.
	 * @param now the time in milliseconds
	 * @param replica the replica
	 */
	public void onSilent(long now, Replica replica) {
		stateOf(replica).onFailure(now);
	}

	/**
	 * Removes the state of replicas that are gone.
	 * @param known the replicas to keep
	 */
	public void retain(Set<ReplicaId> known) {
		this.states.values()
			.stream()
			.filter((state) -> !known.contains(state.replica().id()))
			.forEach((state) -> this.caches.remove(state.promptCache()));
		this.states.keySet().retainAll(known);
		this.slowdowns.retain(
				this.states.values().stream().map((state) -> state.replica().service()).collect(Collectors.toSet()));
	}

	/**
	 * Drops what was learned of models that are no longer configured.
	 * @param models the models to keep
	 */
	public void retainModels(Set<String> models) {
		this.meanWork.keySet().retainAll(models);
	}

	private static int unreadTokens(ReplicaState state, ReplicaTask task) {
		return Math.max(0, task.prompt().inputTokens() - state.cachedTokens(task));
	}

	private ReplicaState stateOf(Replica replica) {
		ReplicaState state = this.states.get(replica.id());
		if (state == null || !state.replica().isSameProcess(replica)) {
			if (state != null) {
				this.caches.remove(state.promptCache());
			}
			state = new ReplicaState(replica);
			this.states.put(replica.id(), state);
		}
		state.update(replica);
		return state;
	}

}
