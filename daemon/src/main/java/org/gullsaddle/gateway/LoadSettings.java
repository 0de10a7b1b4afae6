package org.gullsaddle.gateway;

import org.gullsaddle.base.Check;

/**
 * What a deployment says of its load.
 *
 * @param pressure whether callers compete for too little room, and may read slowly
 * @param memoryBytes what the process may use in all, in bytes, 0 if it is not told
 */
public record LoadSettings(boolean pressure, long memoryBytes) {

	/** A deployment that says nothing of its load. */
	public static final LoadSettings USUAL = new LoadSettings(false, 0);

	public LoadSettings {
		Check.that(memoryBytes >= 0, "memoryBytes must not be negative");
	}

}
