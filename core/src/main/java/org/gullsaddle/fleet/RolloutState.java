package org.gullsaddle.fleet;

/**
 * The state of a roll-out.
 */
public enum RolloutState {

	/** The new release gets a share of the traffic. */
	RUNNING,

	/** The new release has all traffic; the old replicas are stopped. */
	COMPLETED,

	/** The new release failed and gets no traffic. */
	ROLLED_BACK

}
