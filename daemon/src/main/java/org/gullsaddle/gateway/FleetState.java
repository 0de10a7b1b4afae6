package org.gullsaddle.gateway;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.gullsaddle.fleet.FleetChange;
import org.gullsaddle.fleet.FleetConfig;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaDirectory;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.RolloutState;
import org.gullsaddle.fleet.ServiceName;
import org.gullsaddle.serve.Rollout;
import org.gullsaddle.serve.RolloutLimits;

/**
 * What the node believes of the deployment, and how old that is. Confined to the event
 * loop.
 */
final class FleetState {

	private static final long LONG_AGO = Long.MIN_VALUE / 2;

	private final ReplicaDirectory directory = new ReplicaDirectory();

	private final RolloutLimits limits;

	private final Map<ServiceName, Rollout> rollouts = new HashMap<>();

	private final Map<ServiceName, FleetChange.RolloutProgressed> progress = new HashMap<>();

	private FleetConfig config;

	private boolean configUnreadable;

	/** As of when the node knows the deployment, and the configuration. */
	private long knownAt;

	private long configKnownAt;

	/** The same of the deployment before the latest news. */
	private long knownBefore = LONG_AGO;

	private boolean heard;

	FleetState(RolloutLimits limits) {
		this.limits = limits;
	}

	/**
	 * Takes in a change.
	 * @return whether it changed what the node believes
	 */
	boolean apply(long now, FleetChange change) {
		return switch (change) {
			case FleetChange.Configured configured -> configure(configured.config());
			case FleetChange.ConfigUnreadable unreadable -> {
				this.configUnreadable = true;
				yield true;
			}
			case FleetChange.Listed listed -> list(now, listed);
			case FleetChange.Unlisted unlisted -> {
				boolean known = this.directory.find(unlisted.id()).isPresent();
				this.directory.onUnlisted(now, unlisted.id());
				yield known;
			}
			case FleetChange.RolloutOrdered ordered -> order(now, ordered);
			case FleetChange.RolloutProgressed progressed -> progress(progressed);
			case FleetChange.EvacuationBegan began -> this.directory.evacuate(began.dataCenter());
			case FleetChange.EvacuationEnded ended -> this.directory.endEvacuation(ended.dataCenter());
			case FleetChange.NoteWritten noted -> false;
			case FleetChange.RecordUnreadable unreadable -> true;
		};
	}

	/**
	 * A node must never go back: a read that was slow on its way may bring a version
	 * older than one that requests were served by.
	 */
	private boolean configure(FleetConfig newConfig) {
		if (this.config != null && newConfig.version() <= this.config.version()) {
			return false;
		}
		this.configUnreadable = false;
		this.config = newConfig;
		return true;
	}

	private boolean list(long now, FleetChange.Listed listed) {
		Replica replica = listed.replica();
		Optional<Replica> before = this.directory.find(replica.id());
		this.directory.onListed(replica);
		this.directory.onColdReport(now, replica, listed.coldMillis());
		rollout(replica.service())
			.ifPresent((rollout) -> rollout.onReplicaListed(now, System.currentTimeMillis(), replica));
		return !before.equals(Optional.of(replica));
	}

	private boolean order(long now, FleetChange.RolloutOrdered ordered) {
		ServiceName service = ordered.order().service();
		Rollout known = this.rollouts.get(service);
		if (known != null && known.revision() >= ordered.revision()) {
			return false;
		}
		Rollout rollout = new Rollout(this.knownBefore, now, ordered.order(), ordered.revision(), this.limits);
		this.rollouts.put(service, rollout);
		long timeOfDay = System.currentTimeMillis();
		this.directory.knownIds()
			.stream()
			.flatMap((id) -> this.directory.find(id).stream())
			.filter((replica) -> replica.service().equals(service))
			.forEach((replica) -> rollout.onReplicaListed(now, timeOfDay, replica));
		FleetChange.RolloutProgressed state = this.progress.get(service);
		if (state != null) {
			rollout.onStateRead(state.state(), state.target(), state.revision());
		}
		return true;
	}

	private boolean progress(FleetChange.RolloutProgressed progressed) {
		FleetChange.RolloutProgressed before = this.progress.get(progressed.service());
		if (before != null && before.revision() > progressed.revision()) {
			return false;
		}
		this.progress.put(progressed.service(), progressed);
		Rollout rollout = this.rollouts.get(progressed.service());
		if (rollout != null) {
			rollout.onStateRead(progressed.state(), progressed.target(), progressed.revision());
		}
		return !progressed.equals(before);
	}

	/**
	 * Takes in that everything was read: what was not told is gone.
	 */
	void retain(long now, List<FleetChange> everything) {
		Set<ReplicaId> replicas = new HashSet<>();
		Set<String> evacuated = new HashSet<>();
		for (FleetChange change : everything) {
			if (change instanceof FleetChange.Listed listed) {
				replicas.add(listed.replica().id());
			}
			else if (change instanceof FleetChange.EvacuationBegan began) {
				evacuated.add(began.dataCenter());
			}
		}
		this.directory.onRegistryRead(now, replicas);
		this.directory.evacuatedDataCenters()
			.stream()
			.filter((dataCenter) -> !evacuated.contains(dataCenter))
			.forEach(this.directory::endEvacuation);
	}

	/**
	 * Takes in that the platform has told all changes.
	 * @param askedAt when it was asked: of later ones nothing is known
	 */
	void heard(long askedAt) {
		this.knownBefore = this.heard ? this.knownAt : LONG_AGO;
		this.heard = true;
		this.knownAt = askedAt;
		configHeard(askedAt);
	}

	/**
	 * Takes in that the platform has told the configuration.
	 * @param askedAt when it was asked
	 */
	void configHeard(long askedAt) {
		this.configKnownAt = Math.max(this.configKnownAt, askedAt);
	}

	/**
	 * Takes in that more time has passed than the clock counted.
	 */
	void suspended(long millis) {
		this.knownAt -= millis;
		this.configKnownAt -= millis;
	}

	/**
	 * Returns how old what the node knows may be, in milliseconds.
	 */
	long age(long now) {
		return now - this.knownAt;
	}

	/**
	 * Returns how old the configuration that the node knows may be, in milliseconds.
	 */
	long configAge(long now) {
		return now - this.configKnownAt;
	}

	/**
	 * Says whether a newer configuration came that cannot be read.
	 */
	boolean configUnreadable() {
		return this.configUnreadable;
	}

	Optional<FleetConfig> config() {
		return Optional.ofNullable(this.config);
	}

	ReplicaDirectory directory() {
		return this.directory;
	}

	Optional<Rollout> rollout(ServiceName service) {
		return Optional.ofNullable(this.rollouts.get(service));
	}

	Collection<Rollout> rollouts() {
		return this.rollouts.values();
	}

	/**
	 * Says whether the share of a new release rises.
	 */
	boolean releaseGrows() {
		return this.rollouts.values().stream().anyMatch(Rollout::isRampingUp);
	}

	/**
	 * Returns the time of the shortest roll-out that is under way, in milliseconds.
	 */
	OptionalLong shortestRollout() {
		return this.rollouts.values()
			.stream()
			.filter((rollout) -> rollout.writtenState().map((state) -> state == RolloutState.RUNNING).orElse(true))
			.mapToLong((rollout) -> rollout.order().durationMillis())
			.min();
	}

}
