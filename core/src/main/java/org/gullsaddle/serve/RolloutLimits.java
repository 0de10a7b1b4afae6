package org.gullsaddle.serve;

/**
 * What a release may get before it is proved.
 *
 * @param share the part of all requests to its service since the order
 * @param extraRequests how many more, by all nodes together
 */
public record RolloutLimits(double share, double extraRequests) {

	/** What holds where nothing is said. */
	public static final RolloutLimits DEFAULT = new RolloutLimits(0.1, 10);

}
