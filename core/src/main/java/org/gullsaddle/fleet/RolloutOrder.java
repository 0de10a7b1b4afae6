package org.gullsaddle.fleet;

/**
 * An operator's order to move a service to another release.
 *
 * @param service the service
 * @param target the release to move to
 * @param durationMillis how long it may take
 */
public record RolloutOrder(ServiceName service, String target, long durationMillis) {
}
