package org.gullsaddle.fleet;

/**
 * What a route's requests allow.
 */
public enum RouteKind {

	/** May run more than once. */
	IDEMPOTENT,

	/** Runs at most once for each attempt of a caller. */
	ONCE,

	/** Answered by a stream of numbered events. */
	STREAM

}
