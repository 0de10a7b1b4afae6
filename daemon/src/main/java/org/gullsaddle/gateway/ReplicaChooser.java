package org.gullsaddle.gateway;

import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.serve.DeadlineCheck;
import org.gullsaddle.serve.DelayEstimate;
import org.gullsaddle.serve.ReplicaChoice;
import org.gullsaddle.serve.ReplicaEligibility;
import org.gullsaddle.serve.ReplicaSelector;
import org.gullsaddle.serve.ReplicaTask;
import org.gullsaddle.serve.SendPermission;
import org.gullsaddle.suspect.CrashTracker;
import org.gullsaddle.suspect.Trait;

/**
 * Chooses the replicas for the attempts of one request.
 */
final class ReplicaChooser {

	/** Reasons for which it is known how long there is no replica. */
	private static final Set<ReplicaEligibility.NoReplica> REASONS_WITH_KNOWN_DELAY = EnumSet.of(
			ReplicaEligibility.NoReplica.LIMITED, ReplicaEligibility.NoReplica.RESTING,
			ReplicaEligibility.NoReplica.CRASHES);

	private final Gateway gateway;

	private final ServedRequest request;

	ReplicaChooser(Gateway gateway, ServedRequest request) {
		this.gateway = gateway;
		this.request = request;
	}

	/**
	 * Returns whether there is a usable replica that the request was not sent to yet.
	 */
	boolean hasUntried(Set<ReplicaId> tried, String model) {
		Set<ReplicaId> excluded = excluded(tried, model);
		return usable(excluded, model).stream().anyMatch((replica) -> !excluded.contains(replica.id()));
	}

	/**
	 * Returns whether the request may not run anywhere because one of its traits is
	 * blocked for crashes.
	 */
	boolean isBlocked(String model) {
		return rules().isBlocked(requirements(model));
	}

	/**
	 * Returns why there is no replica for the request.
	 */
	ReplicaEligibility.NoReplica noReplicaReason(String model) {
		return rules().noReplicaReason(MonotonicClock.millis(), requirements(model));
	}

	/**
	 * Returns the retry delay for the caller if there is no replica, in milliseconds.
	 */
	long retryAfterMillis(ReplicaEligibility.NoReplica reason, String model) {
		if (REASONS_WITH_KNOWN_DELAY.contains(reason)) {
			return this.gateway.routingState()
				.retryAfterMillis(rules().retryAfterMillis(MonotonicClock.millis(), requirements(model)));
		}
		return this.gateway.routingState().retryAfterMillis(reason);
	}

	/**
	 * Takes a permission to send the request to a replica.
	 */
	SendPermission admit(Replica replica) {
		return this.gateway.backpressure().backpressureTable().admit(MonotonicClock.millis(), replica);
	}

	/**
	 * Returns whether the request may still be sent to the chosen replica.
	 */
	boolean canStillSend(Replica chosen, SendPermission sendPermission, String model) {
		return !isBlocked(model) && this.gateway.fleet().directory().canStillUse(MonotonicClock.millis(), chosen)
				&& this.gateway.backpressure()
					.backpressureTable()
					.canStillSend(MonotonicClock.millis(), chosen, sendPermission);
	}

	/**
	 * Returns how much longer a replica stays cold, in milliseconds, 0 if it is warm.
	 */
	long coldMillis(Replica replica) {
		return this.gateway.fleet().directory().coldMillis(MonotonicClock.millis(), replica.id());
	}

	/**
	 * Records that the request is sent to a replica.
	 */
	void recordSent(Replica replica) {
		rules().onSent(MonotonicClock.millis(), requirements(""), replica);
	}

	private Set<ReplicaId> excluded(Set<ReplicaId> tried, String model) {
		return rules().excludedReplicas(MonotonicClock.millis(), requirements(model), tried);
	}

	private List<Replica> usable(Set<ReplicaId> excluded, String model) {
		return rules().eligibleReplicas(MonotonicClock.millis(), requirements(model), excluded);
	}

	private ReplicaEligibility.Requirements requirements(String model) {
		CrashTracker crashes = this.gateway.crashes().crashTracker();
		List<Trait> traits = (crashes.blockedCount() == 0 || this.request.isTrial()) ? List.of()
				: this.request.traits(model);
		return new ReplicaEligibility.Requirements(this.request.service(), this.request.regionLimit(),
				this.request.coldStart(), this.gateway.nodeRegistry().knownCount(),
				this.gateway.fleet().rollout(this.request.service()), this.request.releaseKey(), traits);
	}

	/**
	 * Chooses a replica for a task; probes candidates first if too little is known of
	 * their load.
	 * @param tried replicas that are left out
	 * @param then receives the choice, at once or after the probes
	 */
	void choose(ReplicaTask task, Set<ReplicaId> tried, Consumer<Optional<ReplicaChoice>> then) {
		Set<ReplicaId> excluded = excluded(tried, task.model());
		List<Replica> usable = usable(excluded, task.model());
		if (this.request.isTrial()) {
			then.accept(chooseLeastLoaded(task, usable, excluded));
			return;
		}
		List<Replica> probed = replicasToProbe(usable, task, excluded);
		if (probed.isEmpty()) {
			then.accept(replicaSelector().chooseReplica(MonotonicClock.millis(), usable, excluded, task));
			return;
		}
		this.gateway.loadProbe()
			.probe(probed, (reported) -> then.accept(this.gateway.guard()
				.call("choice", () -> chooseAfterProbe(task, tried, probed, reported), Optional.empty())));
	}

	private Optional<ReplicaChoice> chooseAfterProbe(ReplicaTask task, Set<ReplicaId> tried, List<Replica> probed,
			List<Replica> reported) {
		reported.forEach(this.gateway.crashes()::onBytes);
		Set<ReplicaId> excluded = excluded(tried, task.model());
		List<Replica> usable = usable(excluded, task.model());
		List<Replica> candidates = withoutUnanswered(usable, probed, reported);
		return replicaSelector().chooseReplica(MonotonicClock.millis(), candidates, excluded, task)
			.or(() -> replicaSelector().chooseReplica(MonotonicClock.millis(), usable, excluded, task));
	}

	/**
	 * Chooses the replica with the fewest requests, since they are lost if it crashes.
	 */
	private Optional<ReplicaChoice> chooseLeastLoaded(ReplicaTask task, List<Replica> usable, Set<ReplicaId> excluded) {
		return replicaSelector().bestChoices(MonotonicClock.millis(), usable, excluded, task, usable.size())
			.stream()
			.min(Comparator.comparingDouble((choice) -> choice.load().requests()));
	}

	/**
	 * Chooses among the replicas that reported their load recently, without probing any.
	 * @param tried replicas that are left out
	 */
	Optional<ReplicaChoice> chooseAmongReported(ReplicaTask task, Set<ReplicaId> tried) {
		long now = MonotonicClock.millis();
		Set<ReplicaId> excluded = new HashSet<>(excluded(tried, task.model()));
		List<Replica> usable = usable(excluded, task.model());
		usable.stream()
			.filter((replica) -> !replicaSelector().hasRecentReport(now, replica))
			.forEach((replica) -> excluded.add(replica.id()));
		return replicaSelector().chooseReplica(now, usable, excluded, task);
	}

	/**
	 * Returns the expected delay until an answer would begin if the request arrived at a
	 * replica now. A replica of unknown load is assumed to be as loaded as the others,
	 * including tried ones.
	 */
	DelayEstimate expectedDelay(Replica replica, ReplicaTask task) {
		return replicaSelector().estimateDelay(MonotonicClock.millis(), usable(Set.of(), task.model()), replica, task);
	}

	/**
	 * Returns whether no replica that may run the request's smallest model would begin in
	 * time. Never true if there are cold replicas, whose delay is unknown.
	 */
	boolean wouldMissDeadline(ReplicaTask task, ReplicaChoice choice, long remainingMillis) {
		if (!this.gateway.settings().load().pressure() || this.request.engine().isEmpty()
				|| !DeadlineCheck.isTooLate(choice, remainingMillis)) {
			return false;
		}
		long now = MonotonicClock.millis();
		// Rate-limited replicas are included: they may still accept the request.
		List<Replica> usable = usable(Set.of(), task.model());
		List<ReplicaChoice> all = replicaSelector().bestChoices(now, usable, Set.of(), task, usable.size());
		boolean refused = !rules().hasColdReplica(now, requirements(task.model())) && this.gateway.routingState()
			.deadlineCheck()
			.shouldRefuse(now, this.request.service(), all, remainingMillis);
		if (refused) {
			this.gateway.telemetry().count("would.not.begin");
		}
		return refused;
	}

	/**
	 * Returns the replicas to probe. A probe is work too: the capacity of cold or
	 * rate-limited replicas is kept for requests, and a replica in back-off is not
	 * probed.
	 */
	private List<Replica> replicasToProbe(List<Replica> usable, ReplicaTask task, Set<ReplicaId> excluded) {
		return replicaSelector().replicasToQuery(MonotonicClock.millis(), usable, excluded, task)
			.stream()
			.filter(this::canProbe)
			.toList();
	}

	/**
	 * Returns whether a replica may be probed for its load.
	 */
	boolean canProbe(Replica replica) {
		return !rules().isCold(MonotonicClock.millis(), requirements(""), replica)
				&& this.gateway.backpressure().canProbe(replica);
	}

	private static List<Replica> withoutUnanswered(List<Replica> usable, List<Replica> probed, List<Replica> reported) {
		Set<ReplicaId> unanswered = probed.stream().map(Replica::id).collect(Collectors.toSet());
		reported.forEach((replica) -> unanswered.remove(replica.id()));
		return usable.stream().filter((replica) -> !unanswered.contains(replica.id())).toList();
	}

	private ReplicaEligibility rules() {
		return this.gateway.replicaEligibility();
	}

	private ReplicaSelector replicaSelector() {
		return this.gateway.routingState().replicaSelector();
	}

}
