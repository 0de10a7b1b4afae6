package org.gullsaddle.serve;

/**
 * Whether a request that was given to a replica may be sent there, as it stood then.
 */
public enum SendPermission {

	/** The replica had asked for nothing. */
	UNLIMITED,

	/** The request has a part of the replica's limit. */
	COUNTED,

	/** The replica had asked for rest, or this node had no more of its limit to give. */
	DENIED

}
