package org.gullsaddle.fleet;

/**
 * A service's share of a route's traffic.
 *
 * @param service the service that gets it
 * @param weight its weight among the route's shares
 */
public record ServiceShare(ServiceName service, double weight) {
}
