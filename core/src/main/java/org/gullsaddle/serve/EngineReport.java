package org.gullsaddle.serve;

import org.gullsaddle.base.Check;

/**
 * The load that an engine reports when it is queried.
 *
 * @param running how many requests it runs
 * @param reading how many of these have generated nothing yet
 * @param waiting how many wait to be run
 */
public record EngineReport(int running, int reading, int waiting) {

	public EngineReport {
		Check.that(running >= 0 && waiting >= 0, "running and waiting must not be negative");
		Check.that(reading >= 0 && reading <= running, "reading must be from 0 to running");
	}

	int requests() {
		return this.running + this.waiting;
	}

	/**
	 * Returns how many requests have a prompt that is not fully read.
	 */
	int unreadRequests() {
		return this.reading + this.waiting;
	}

}
