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
 * The node's view of the deployment and its age. Confined to the event loop.
 */
final class FleetState {

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final ReplicaDirectory directory = new ReplicaDirectory();

	private final RolloutLimits limits;

	private final Map<ServiceName, Rollout> rollouts = new HashMap<>();

	private final Map<ServiceName, FleetChange.RolloutProgressed> progress = new HashMap<>();

	private FleetConfig config;

	private boolean configUnreadable;

	/** Times as of which the deployment and the configuration are known. */
	private long knownAt;

	private long configKnownAt;

	/** Time as of which the deployment was known before the latest update. */
	private long previouslyKnownAt = NEVER;

	private boolean everUpdated;

	private boolean configReadFailed;

	FleetState(RolloutLimits limits) {
		this.limits = limits;
	}

	/**
	 * Applies a change.
	 * @return whether it changed the node's view
	 */
	boolean apply(long now, FleetChange change) {
		return switch (change) {
			case FleetChange.Configured configured -> applyConfig(configured.config());
			case FleetChange.ConfigUnreadable unreadable -> {
				this.configUnreadable = true;
				yield true;
			}
			case FleetChange.Listed listed -> applyListed(now, listed);
			case FleetChange.Unlisted unlisted -> {
				boolean known = this.directory.find(unlisted.id()).isPresent();
				this.directory.onUnlisted(now, unlisted.id());
				yield known;
			}
			case FleetChange.EntryUnreadable unreadable -> {
				this.directory.onUnusable(unreadable.id());
				yield true;
			}
			case FleetChange.RolloutOrdered ordered -> applyOrdered(now, ordered);
			case FleetChange.RolloutProgressed progressed -> applyProgressed(progressed);
			case FleetChange.EvacuationBegan began -> this.directory.evacuate(began.dataCenter());
			case FleetChange.EvacuationEnded ended -> this.directory.endEvacuation(ended.dataCenter());
			case FleetChange.NoteWritten noted -> false;
			case FleetChange.RecordUnreadable unreadable -> true;
		};
	}

	/**
	 * Ignores older versions: a delayed read may return a version older than one under
	 * which requests were already served.
	 */
	private boolean applyConfig(FleetConfig newConfig) {
		if (this.config != null && newConfig.version() <= this.config.version()) {
			return false;
		}
		this.configUnreadable = false;
		this.config = newConfig;
		return true;
	}

	private boolean applyListed(long now, FleetChange.Listed listed) {
		Replica replica = listed.replica();
		Optional<Replica> before = this.directory.find(replica.id());
		this.directory.onListed(replica);
		this.directory.onColdReport(now, replica, listed.coldMillis());
		rollout(replica.service())
			.ifPresent((rollout) -> rollout.onReplicaListed(now, System.currentTimeMillis(), replica));
		return !before.equals(Optional.of(replica));
	}

	private boolean applyOrdered(long now, FleetChange.RolloutOrdered ordered) {
		ServiceName service = ordered.order().service();
		Rollout known = this.rollouts.get(service);
		if (known != null && known.revision() >= ordered.revision()) {
			return false;
		}
		Rollout rollout = new Rollout(this.previouslyKnownAt, now, ordered.order(), ordered.revision(), this.limits);
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

	private boolean applyProgressed(FleetChange.RolloutProgressed progressed) {
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
	 * Removes replicas and evacuations that a full read did not list.
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
	 * Records that all changes were read.
	 * @param askedAt when the call was made; later changes are unknown
	 */
	void onUpdate(long askedAt) {
		this.previouslyKnownAt = this.everUpdated ? this.knownAt : NEVER;
		this.everUpdated = true;
		this.knownAt = askedAt;
		onConfigRead(askedAt);
	}

	/**
	 * Records that the configuration was read.
	 * @param askedAt when the call was made
	 */
	void onConfigRead(long askedAt) {
		this.configKnownAt = Math.max(this.configKnownAt, askedAt);
		this.configReadFailed = false;
	}

	/**
	 * Records that the configuration could not be read.
	 */
	void onConfigReadFailed() {
		this.configReadFailed = true;
	}

	/**
	 * Returns whether the last attempt to read the configuration failed.
	 */
	boolean hasConfigReadFailed() {
		return this.configReadFailed;
	}

	/**
	 * Adds time that the clock did not count to the age of what is known.
	 */
	void onSuspended(long millis) {
		this.knownAt -= millis;
		this.configKnownAt -= millis;
	}

	/**
	 * Returns the largest possible age of the node's view, in milliseconds.
	 */
	long ageMillis(long now) {
		return now - this.knownAt;
	}

	/**
	 * Returns the largest possible age of the known configuration, in milliseconds.
	 */
	long configAgeMillis(long now) {
		return now - this.configKnownAt;
	}

	/**
	 * Returns whether a newer configuration exists that cannot be parsed.
	 */
	boolean hasUnreadableConfig() {
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
	 * Returns whether the share of a new release is rising.
	 */
	boolean isReleaseShareRising() {
		return this.rollouts.values().stream().anyMatch(Rollout::isRampingUp);
	}

	/**
	 * Returns the duration of the shortest roll-out in progress, in milliseconds.
	 */
	OptionalLong shortestRolloutMillis() {
		return this.rollouts.values()
			.stream()
			.filter((rollout) -> rollout.writtenState().map((state) -> state == RolloutState.RUNNING).orElse(true))
			.mapToLong((rollout) -> rollout.order().durationMillis())
			.min();
	}

}
