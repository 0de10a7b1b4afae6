package org.gullsaddle.serve;

/**
 * Whether a request that was given to a replica may be sent there, as it stood then.
 */
public enum Admission {

	/** The replica had named no limit. */
	FREE,

	/** The request has a part of the replica's limit. */
	COUNTED,

	/** This node had no more of the replica's limit to give. */
	DENIED

}
