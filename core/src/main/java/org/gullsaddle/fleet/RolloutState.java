package org.gullsaddle.fleet;

/**
 * How far a roll-out has come.
 */
public enum RolloutState {

	/** The new release gets a part of the traffic. */
	RUNNING,

	/** The new release has all traffic; the old replicas are stopped. */
	COMPLETED,

	/** The new release was found bad and gets no traffic. */
	ROLLED_BACK

}
