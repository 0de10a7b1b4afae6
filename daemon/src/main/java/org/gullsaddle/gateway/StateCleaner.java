package org.gullsaddle.gateway;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.gullsaddle.base.TeamId;
import org.gullsaddle.fleet.ConfiguredNames;
import org.gullsaddle.fleet.FleetConfig;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.ServiceName;
import org.gullsaddle.serve.ReplicaTask;
import org.gullsaddle.telemetry.Telemetry;

/**
 * Drops the state of replicas that are no longer known and of names that are no longer
 * configured. Replicas and configurations are replaced without limit while a node runs,
 * so state that is kept by a replica or a name must be registered here. Confined to the
 * event loop.
 */
final class StateCleaner {

	private final FleetState fleet;

	private final StepGuard guard;

	private final Map<String, Consumer<Set<ReplicaId>>> byReplica = new LinkedHashMap<>();

	private final Map<String, Consumer<ConfiguredNames>> byName = new LinkedHashMap<>();

	StateCleaner(FleetState fleet, StepGuard guard) {
		this.fleet = fleet;
		this.guard = guard;
	}

	/**
	 * Registers state that is kept by replica.
	 * @param step the name of its clean-up in the log
	 * @param retain drops all replicas but the given ones
	 */
	StateCleaner replicas(String step, Consumer<Set<ReplicaId>> retain) {
		this.byReplica.put(step, retain);
		return this;
	}

	/**
	 * Registers state that is kept by names of the configuration.
	 * @param step the name of its clean-up in the log
	 * @param retain drops all names but the given ones
	 */
	StateCleaner names(String step, Consumer<ConfiguredNames> retain) {
		this.byName.put(step, retain);
		return this;
	}

	/**
	 * Runs all clean-ups. Requests of a former configuration may bring back its names
	 * until they end, so names are cleaned up without a change of the configuration, too.
	 */
	void run() {
		Set<ReplicaId> known = this.fleet.directory().knownIds();
		this.byReplica.forEach((step, retain) -> this.guard.run(step, () -> retain.accept(known)));
		this.fleet.config()
			.map(FleetConfig::names)
			.ifPresent(
					(names) -> this.byName.forEach((step, retain) -> this.guard.run(step, () -> retain.accept(names))));
	}

	/**
	 * Drops the metrics of names that are no longer configured.
	 */
	static void retainMetrics(Telemetry telemetry, ConfiguredNames names) {
		telemetry.retain("route", names.routes());
		telemetry.retain("service", texts(names.services(), ServiceName::value));
		Set<String> models = new HashSet<>(names.models());
		models.add(ReplicaTask.NO_MODEL);
		telemetry.retain("model", models);
		Set<String> teams = texts(names.teams(), TeamId::value);
		teams.add(ServedRequest.NO_TEAM);
		telemetry.retain("team", teams);
	}

	private static <T> Set<String> texts(Set<T> names, Function<T, String> text) {
		return names.stream().map(text).collect(Collectors.toSet());
	}

}
