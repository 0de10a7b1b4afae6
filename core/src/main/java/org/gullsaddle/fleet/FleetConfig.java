package org.gullsaddle.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the operators' configuration. Immutable.
 */
public final class FleetConfig {

	private final long version;

	private final Map<String, List<Route>> routesByHost = new HashMap<>();

	private final Map<String, Team> teamsByKey = new HashMap<>();

	private final Map<ServiceName, ServiceSpec> services = new HashMap<>();

	private final boolean isKeyRequired;

	private final CallerLimits limits;

	private final ConfiguredNames names;

	/**
	 * Creates a configuration.
	 * @param version its version; higher ones are newer
	 * @param routes the routes
	 * @param services the services
	 * @param teams the teams
	 * @param keyRequired whether requests need a key of a team; without teams, no key is
	 * valid then
	 * @param limits what callers may send
	 */
	public FleetConfig(long version, List<Route> routes, List<ServiceSpec> services, List<Team> teams,
			boolean keyRequired, CallerLimits limits) {
		this.version = version;
		this.limits = limits;
		this.isKeyRequired = keyRequired;
		this.names = ConfiguredNames.of(routes, services, teams);
		routes.forEach((route) -> this.routesByHost
			.computeIfAbsent(route.host().toLowerCase(Locale.ROOT), (host) -> new ArrayList<>())
			.add(route));
		Comparator<Route> longestFirst = Comparator.comparingInt((Route route) -> route.prefix().length()).reversed();
		this.routesByHost.values().forEach((list) -> list.sort(longestFirst));
		services.forEach((service) -> this.services.put(service.name(), service));
		teams.forEach((team) -> team.keys().forEach((key) -> this.teamsByKey.put(key, team)));
	}

	/**
	 * Returns the version.
	 * @return the version
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Finds the route of a request, the one with the longest prefix.
	 * @param host the request's host, with or without a port
	 * @param path its path without the query
	 * @return the route, or empty if none matches
	 */
	public Optional<Route> findRoute(String host, String path) {
		int colon = host.lastIndexOf(':');
		String name = ((colon < 0) ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
		return this.routesByHost.getOrDefault(name, List.of())
			.stream()
			.filter((route) -> path.startsWith(route.prefix()))
			.findFirst();
	}

	/**
	 * Returns the routes.
	 * @return all routes of all hosts
	 */
	public List<Route> routes() {
		return this.routesByHost.values().stream().flatMap(List::stream).toList();
	}

	/**
	 * Returns whether requests need a key unless their route is open.
	 * @return true if a request without a valid key must be refused
	 */
	public boolean isKeyRequired() {
		return this.isKeyRequired;
	}

	/**
	 * Finds the team that holds a key.
	 * @param key the key
	 * @return the team, or empty if none holds it
	 */
	public Optional<Team> findTeam(String key) {
		return Optional.ofNullable(this.teamsByKey.get(key));
	}

	/**
	 * Finds a service.
	 * @param name its name
	 * @return the service, or empty if it is not configured
	 */
	public Optional<ServiceSpec> findService(ServiceName name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Returns the services.
	 * @return all that are configured
	 */
	public Collection<ServiceSpec> services() {
		return List.copyOf(this.services.values());
	}

	/**
	 * Returns the names that are configured.
	 * @return the names of routes, teams, services and models
	 */
	public ConfiguredNames names() {
		return this.names;
	}

	/**
	 * Returns what callers may send.
	 * @return the limits
	 */
	public CallerLimits limits() {
		return this.limits;
	}

}
