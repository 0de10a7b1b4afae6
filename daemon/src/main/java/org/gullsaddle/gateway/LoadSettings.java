package org.gullsaddle.gateway;

import org.gullsaddle.base.Check;

/**
 * What a deployment says of its load.
 *
 * @param pressure whether callers compete for too little room, and may read slowly
 * @param memoryLimitBytes what the process may use in all, in bytes, 0 if it is not told
 */
public record LoadSettings(boolean pressure, long memoryLimitBytes) {

	/** A deployment that says nothing of its load. */
	public static final LoadSettings DEFAULTS = new LoadSettings(false, 0);

	public LoadSettings {
		Check.that(memoryLimitBytes >= 0, "memoryBytes must not be negative");
	}

}
