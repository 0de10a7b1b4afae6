package org.gullsaddle.fleet;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.gullsaddle.base.TeamId;

/**
 * The names that a configuration contains. Configurations come and go without limit, so
 * state that is kept by one of these names is dropped once the name is no longer
 * configured.
 *
 * @param routes the names of routes
 * @param teams the teams
 * @param services the services
 * @param models the models of all routes and engines
 */
public record ConfiguredNames(Set<String> routes, Set<TeamId> teams, Set<ServiceName> services, Set<String> models) {

	public ConfiguredNames {
		routes = Set.copyOf(routes);
		teams = Set.copyOf(teams);
		services = Set.copyOf(services);
		models = Set.copyOf(models);
	}

	static ConfiguredNames of(List<Route> routes, Collection<ServiceSpec> services, List<Team> teams) {
		Stream<String> engineModels = services.stream()
			.flatMap((service) -> service.engine().stream())
			.flatMap((engine) -> engine.models().stream())
			.map(ModelSize::name);
		Stream<String> routeModels = routes.stream().flatMap((route) -> route.models().stream());
		Stream<ServiceName> routeServices = routes.stream()
			.flatMap((route) -> route.shares().stream())
			.map(ServiceShare::service);
		return new ConfiguredNames(routes.stream().map(Route::name).collect(Collectors.toSet()),
				teams.stream().map(Team::id).collect(Collectors.toSet()),
				Stream.concat(services.stream().map(ServiceSpec::name), routeServices).collect(Collectors.toSet()),
				Stream.concat(engineModels, routeModels).collect(Collectors.toSet()));
	}

}
