package org.gullsaddle.gateway;

import org.gullsaddle.fleet.Route;
import org.gullsaddle.fleet.RouteKind;

/**
 * Decides which requests a stopping node still accepts, and until when they are answered.
 * <p>
 * When all nodes of a deployment stop within a few seconds of each other, none is ready,
 * and the load balancer sends callers to stopping nodes. A node that only waited for its
 * open streams would refuse them for five seconds, although a call takes a tenth of a
 * second. New streams are refused since they may not end in time.
 */
final class DrainPolicy {

	/**
	 * How long all requests are still accepted, in milliseconds: the load balancer
	 * notices after two readiness checks, one second apart. By the platform's rules,
	 * requests sent later than three seconds after the stop signal must not be aborted at
	 * the end.
	 */
	static final long ACCEPT_ALL_MILLIS = 2900;

	/**
	 * Time from the end of the process until the restarted node serves, in milliseconds.
	 */
	private static final long RESTART_MILLIS = 900;

	/**
	 * Part of the stop timeout that is reserved for ending the process, in milliseconds.
	 */
	private static final long EXIT_MARGIN_MILLIS = 400;

	/**
	 * Shortest time in which the last answers leave the process, in milliseconds.
	 */
	private static final long MIN_FLUSH_MILLIS = 200;

	/**
	 * How long before the end requests without an answer are answered, in milliseconds:
	 * several times the interval between two checks of open requests, so that each is
	 * checked.
	 */
	private static final long ANSWER_MARGIN_MILLIS = 200;

	/**
	 * Remaining time that a call needs to be accepted, as a multiple of its route's
	 * objective, so that nearly all end before the process does.
	 */
	private static final long MIN_OBJECTIVES_LEFT = 4;

	private long beganAt = Long.MAX_VALUE;

	private long endsAt = Long.MAX_VALUE;

	private boolean ended;

	/**
	 * Begins to stop.
	 * @param now the time in milliseconds
	 * @param stopTimeoutMillis the stop timeout in milliseconds
	 */
	void begin(long now, long stopTimeoutMillis) {
		this.beganAt = now;
		this.endsAt = now + stopTimeoutMillis - EXIT_MARGIN_MILLIS;
	}

	/**
	 * Accepts nothing from now on, since the process ends as soon as the last answers are
	 * sent. A call accepted in those milliseconds would run, and its connection would
	 * close without an answer.
	 */
	void stopAccepting() {
		this.ended = true;
	}

	boolean hasBegun() {
		return this.beganAt != Long.MAX_VALUE;
	}

	/**
	 * Returns whether open requests must be aborted.
	 */
	boolean isOver(long now) {
		return now >= this.endsAt;
	}

	/**
	 * Returns how long answers may take to leave the process once it serves nothing more,
	 * in milliseconds.
	 */
	long flushMillis(long now) {
		return Math.max(MIN_FLUSH_MILLIS, this.endsAt - now);
	}

	/**
	 * Returns whether requests without an answer must be answered now, if only with a
	 * timeout.
	 */
	boolean shouldAnswerNow(long now) {
		return hasBegun() && now >= this.endsAt - ANSWER_MARGIN_MILLIS;
	}

	/**
	 * Returns whether all requests are accepted, since the load balancer may not have
	 * noticed the stop.
	 */
	boolean acceptsAll(long now) {
		return !this.ended && (!hasBegun() || now - this.beganAt < ACCEPT_ALL_MILLIS);
	}

	/**
	 * Returns whether a request of a route is accepted.
	 */
	boolean accepts(Route route, long now) {
		return acceptsAll(now) || (!this.ended && route.kind() != RouteKind.STREAM
				&& now + MIN_OBJECTIVES_LEFT * route.targetMillis() <= this.endsAt - ANSWER_MARGIN_MILLIS);
	}

	/**
	 * Returns the time until this node serves again, in milliseconds. It is the retry
	 * delay for callers that the load balancer sent here although this node is not ready:
	 * no other node was, so earlier retries would be wasted.
	 */
	long retryAfterMillis(long now) {
		return Math.max(0, this.endsAt - now) + RESTART_MILLIS;
	}

	/**
	 * Returns the latest time at which a request of a route must be answered, in
	 * milliseconds. A call is answered before the process ends, if only with a timeout; a
	 * stream that has begun continues to the end.
	 */
	long latestAnswerAt(Route route) {
		boolean call = route.kind() != RouteKind.STREAM;
		return (call && hasBegun()) ? this.endsAt - ANSWER_MARGIN_MILLIS : Long.MAX_VALUE;
	}

}
