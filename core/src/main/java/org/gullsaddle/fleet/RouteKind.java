package org.gullsaddle.fleet;

/**
 * How a route's requests may be run.
 */
public enum RouteKind {

	/** A request may run more than once. */
	IDEMPOTENT,

	/** A request runs at most once for each attempt of its caller. */
	ONCE,

	/** A request is answered by a stream of numbered events. */
	STREAM

}
