package org.gullsaddle.agent;

import org.gullsaddle.base.Check;
import org.gullsaddle.base.NodeId;

/**
 * What {@link Admission} is tuned by.
 *
 * @param id the agent
 * @param maxQueued how many attempts may wait
 * @param initialRunMillis how long an attempt is taken to run before any has, in
 * milliseconds
 */
public record AdmissionSettings(NodeId id, int maxQueued, long initialRunMillis) {

	private static final int DEFAULT_MAX_QUEUED = 200;

	private static final long DEFAULT_INITIAL_RUN_MILLIS = 1000;

	public AdmissionSettings {
		Check.notNull(id, "id");
		Check.that(maxQueued >= 0, "maxQueued must not be negative");
		Check.that(initialRunMillis > 0, "expectedMillis must be positive");
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
	 * Returns a copy with another bound of the queue.
	 * @param queued how many attempts may wait
	 * @return the settings
	 */
	public AdmissionSettings withMaxQueued(int queued) {
		return new AdmissionSettings(this.id, queued, this.initialRunMillis);
	}

}
