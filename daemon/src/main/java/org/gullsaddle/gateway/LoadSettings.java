package org.gullsaddle.gateway;

import org.gullsaddle.base.Check;

/**
 * Settings of a deployment about its load and memory.
 *
 * @param pressure whether callers compete for scarce capacity and may read slowly
 * @param memoryLimitBytes memory limit of the process, in bytes, 0 if unknown
 */
public record LoadSettings(boolean pressure, long memoryLimitBytes) {

	/** Settings of a deployment that gives none. */
	public static final LoadSettings DEFAULTS = new LoadSettings(false, 0);

	public LoadSettings {
		Check.that(memoryLimitBytes >= 0, "memoryLimitBytes must not be negative");
	}

}
