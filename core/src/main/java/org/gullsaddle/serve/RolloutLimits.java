package org.gullsaddle.serve;

/**
 * The allowance of a release until it is proved.
 *
 * @param share its greatest share of all requests to the service since the order
 * @param extraRequests how many requests beyond the share all nodes together may send
 */
public record RolloutLimits(double share, double extraRequests) {

	/** The limits without a setting. */
	public static final RolloutLimits DEFAULT = new RolloutLimits(0.1, 10);

}
