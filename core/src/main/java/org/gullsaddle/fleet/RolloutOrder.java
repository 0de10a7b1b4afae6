package org.gullsaddle.fleet;

/**
 * An operator's order to roll a service out to another release.
 *
 * @param service the service
 * @param target the release to roll out
 * @param durationMillis how long it may take, in milliseconds
 */
public record RolloutOrder(ServiceName service, String target, long durationMillis) {
}
