package org.gullsaddle.fleet;

import org.gullsaddle.base.Check;

/**
 * An operator's order to roll a service out to another release.
 *
 * @param service the service
 * @param target the release to roll out
 * @param durationMillis how long it may take, in milliseconds
 */
public record RolloutOrder(ServiceName service, String target, long durationMillis) {

	/**
	 * Checks that no part is missing.
	 */
	public RolloutOrder {
		Check.notNull(service, "service");
		Check.notEmpty(target, "target");
		Check.that(durationMillis > 0, "duration must be positive");
	}

}
