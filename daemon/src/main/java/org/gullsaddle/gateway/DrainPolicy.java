package org.gullsaddle.gateway;

import org.gullsaddle.fleet.Route;
import org.gullsaddle.fleet.RouteKind;

/**
 * What a node still takes on once it was told to stop.
 * <p>
 * When all nodes of a deployment stop within a few seconds of each other, none is ready,
 * and the balancer sends callers to those that stop. A node that waits for its open
 * streams refused such callers for five seconds, though a call takes a tenth of one.
 * Streams are refused, as nobody knows whether they would end in time.
 */
final class DrainPolicy {

	/**
	 * How long all requests are still taken, in milliseconds: the balancer notices after
	 * two questions, a second apart. What is sent later than three seconds after the
	 * order to stop must not be cut off at its end, by the platform's rules.
	 */
	static final long ACCEPT_ALL_MILLIS = 2900;

	/**
	 * How long the platform and a node take from its end until it serves again, in
	 * milliseconds.
	 */
	private static final long RESTART_MILLIS = 900;

	/** What is left of the time to stop for ending the process, in milliseconds. */
	private static final long EXIT_MARGIN_MILLIS = 400;

	/**
	 * How much sooner than the process requests without an answer end, in milliseconds:
	 * several times what passes between two looks at open requests, so that each gets
	 * one.
	 */
	private static final long ANSWER_MARGIN_MILLIS = 200;

	/**
	 * How many objectives of its route a call must have left to be taken on, so that
	 * nearly all end before the process does.
	 */
	private static final long MIN_OBJECTIVES_LEFT = 4;

	private long beganAt = Long.MAX_VALUE;

	private long endsAt = Long.MAX_VALUE;

	private boolean ended;

	/**
	 * Begins to stop.
	 * @param now the time in milliseconds
	 * @param stopMillis how long the process may take, in milliseconds
	 */
	void begin(long now, long stopMillis) {
		this.beganAt = now;
		this.endsAt = now + stopMillis - EXIT_MARGIN_MILLIS;
	}

	/**
	 * Takes nothing on from now, as the process ends as soon as the last answers have
	 * left it. A call that was taken in those milliseconds was run and its connection
	 * closed without an answer.
	 */
	void stopAccepting() {
		this.ended = true;
	}

	boolean hasBegun() {
		return this.beganAt != Long.MAX_VALUE;
	}

	/**
	 * Says whether what is open must be cut off.
	 */
	boolean isOver(long now) {
		return now >= this.endsAt;
	}

	/**
	 * Says whether what has no answer yet must get one now, if only that its time is
	 * over.
	 */
	boolean shouldAnswerNow(long now) {
		return hasBegun() && now >= this.endsAt - ANSWER_MARGIN_MILLIS;
	}

	/**
	 * Says whether a request may come at any time, as the balancer may not have noticed.
	 */
	boolean acceptsAll(long now) {
		return !this.ended && (!hasBegun() || now - this.beganAt < ACCEPT_ALL_MILLIS);
	}

	/**
	 * Says whether a request of a route is taken on.
	 */
	boolean accepts(Route route, long now) {
		return acceptsAll(now) || (!this.ended && route.kind() != RouteKind.STREAM
				&& now + MIN_OBJECTIVES_LEFT * route.targetMillis() <= this.endsAt - ANSWER_MARGIN_MILLIS);
	}

	/**
	 * Returns how long it takes until this node serves again, in milliseconds. That is
	 * when a caller is to come back that the balancer sent here though this node says
	 * that it stops: no other one was ready. Sooner it would use its retries in vain.
	 */
	long retryAfterMillis(long now) {
		return Math.max(0, this.endsAt - now) + RESTART_MILLIS;
	}

	/**
	 * Returns when a request of a route must have its answer at the latest, in
	 * milliseconds. A call gets one before the process ends, if only that its time is
	 * over; a stream that has begun goes on to the end.
	 */
	long latestAnswerAt(Route route) {
		boolean call = route.kind() != RouteKind.STREAM;
		return (call && hasBegun()) ? this.endsAt - ANSWER_MARGIN_MILLIS : Long.MAX_VALUE;
	}

}
