package org.gullsaddle.serve;

/**
 * Whether a request may be sent to the chosen replica, as decided when the replica was
 * chosen.
 */
public enum SendPermission {

	/** The replica had neither a rate limit nor a back-off. */
	UNLIMITED,

	/** The request was counted against this node's share of the replica's rate limit. */
	COUNTED,

	/**
	 * The replica had asked for a back-off, or this node had used up its share of the
	 * rate limit.
	 */
	DENIED

}
