package org.gullsaddle.base;

/**
 * A backend server's load as last reported by its engine; it may be seconds old.
 *
 * @param running requests running
 * @param waiting requests waiting
 * @param slots how many requests may run at once
 */
public record LoadReport(int running, int waiting, int slots) {

	public LoadReport {
		Check.that(running >= 0 && waiting >= 0, "running and waiting must not be negative");
		Check.that(slots > 0, "slots must be positive");
	}

}
