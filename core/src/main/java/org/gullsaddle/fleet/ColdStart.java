package org.gullsaddle.fleet;

/**
 * The behaviour of a service's replicas after their start: they are slow for a while and
 * crash if they get too many requests in that time. Each replica reports how long it
 * stays cold.
 *
 * @param requestsPerSecond how many requests per second a cold replica can take from all
 * callers together, 0 if as many as a warm one
 */
public record ColdStart(double requestsPerSecond) {

	/** Replicas that can take as many requests at their start as later. */
	public static final ColdStart NONE = new ColdStart(0);

	/**
	 * Returns whether the request rate of cold replicas is limited.
	 * @return true if they can take fewer requests than warm ones
	 */
	public boolean isLimited() {
		return this.requestsPerSecond > 0;
	}

}
