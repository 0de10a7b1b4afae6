package org.gullsaddle.agent;

import org.gullsaddle.base.Check;
import org.gullsaddle.base.NodeId;

/**
 * The settings of {@link Admission}.
 *
 * @param id the agent
 * @param maxQueued the maximum number of queued attempts
 * @param initialRunMillis the expected duration of an attempt before any has completed,
 * in milliseconds
 */
public record AdmissionSettings(NodeId id, int maxQueued, long initialRunMillis) {

	private static final int DEFAULT_MAX_QUEUED = 200;

	private static final long DEFAULT_INITIAL_RUN_MILLIS = 1000;

	public AdmissionSettings {
		Check.notNull(id, "id");
		Check.that(maxQueued >= 0, "maxQueued must not be negative");
		Check.that(initialRunMillis > 0, "initialRunMillis must be positive");
	}

	/**
	 * Returns the defaults for an agent.
	 * @param id the agent
	 * @return the settings
	 */
	public static AdmissionSettings of(NodeId id) {
		return new AdmissionSettings(id, DEFAULT_MAX_QUEUED, DEFAULT_INITIAL_RUN_MILLIS);
	}

	/**
	 * Returns a copy with another limit of the queue.
	 * @param maxQueuedAttempts the maximum number of queued attempts
	 * @return the settings
	 */
	public AdmissionSettings withMaxQueued(int maxQueuedAttempts) {
		return new AdmissionSettings(this.id, maxQueuedAttempts, this.initialRunMillis);
	}

}
