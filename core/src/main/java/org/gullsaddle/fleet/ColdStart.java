package org.gullsaddle.fleet;

/**
 * How a service's replicas behave after their start: they are slow for a while, and crash
 * if they get more requests than they bear then. How long a replica stays cold it says
 * itself.
 *
 * @param requestsPerSecond how many requests a second a cold replica bears from all
 * callers together, 0 if it bears as many as a warm one
 */
public record ColdStart(double requestsPerSecond) {

	/** Replicas that bear as many requests at their start as later. */
	public static final ColdStart NONE = new ColdStart(0);

	/**
	 * Says whether cold replicas need care.
	 * @return true if they bear less than warm ones
	 */
	public boolean isLimited() {
		return this.requestsPerSecond > 0;
	}

}
