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
	static final long TAKE_ON_MILLIS = 2900;

	/**
	 * How long the platform and a node take from its end until it serves again, in
	 * milliseconds.
	 */
	private static final long START_MILLIS = 900;

	/** What is left of the time to stop for ending the process, in milliseconds. */
	private static final long LAST_MILLIS = 400;

	/**
	 * How much sooner than the process requests without an answer end, in milliseconds:
	 * several times what passes between two looks at open requests, so that each gets
	 * one.
	 */
	private static final long ANSWER_MILLIS = 200;

	/**
	 * How many objectives of its route a call must have left to be taken on, so that
	 * nearly all end before the process does.
	 */
	private static final long OBJECTIVES = 4;

	private long begunAt = Long.MAX_VALUE;

	private long endsAt = Long.MAX_VALUE;

	private boolean ended;

	/**
	 * Begins to stop.
	 * @param now the time in milliseconds
	 * @param stopMillis how long the process may take, in milliseconds
	 */
	void begin(long now, long stopMillis) {
		this.begunAt = now;
		this.endsAt = now + stopMillis - LAST_MILLIS;
	}

	/**
	 * Takes nothing on from now, as the process ends as soon as the last answers have
	 * left it. A call that was taken in those milliseconds was run and its connection
	 * closed without an answer.
	 */
	void end() {
		this.ended = true;
	}

	boolean begun() {
		return this.begunAt != Long.MAX_VALUE;
	}

	/**
	 * Says whether what is open must be cut off.
	 */
	boolean over(long now) {
		return now >= this.endsAt;
	}

	/**
	 * Says whether what has no answer yet must get one now, if only that its time is
	 * over.
	 */
	boolean answersNow(long now) {
		return begun() && now >= this.endsAt - ANSWER_MILLIS;
	}

	/**
	 * Says whether a request may come at any time, as the balancer may not have noticed.
	 */
	boolean takesAll(long now) {
		return !this.ended && (!begun() || now - this.begunAt < TAKE_ON_MILLIS);
	}

	/**
	 * Says whether a request of a route is taken on.
	 */
	boolean takes(Route route, long now) {
		return takesAll(now) || (!this.ended && route.kind() != RouteKind.STREAM
				&& now + OBJECTIVES * route.targetMillis() <= this.endsAt - ANSWER_MILLIS);
	}

	/**
	 * Returns how long it takes until this node serves again, in milliseconds. That is
	 * when a caller is to come back that the balancer sent here though this node says
	 * that it stops: no other one was ready. Sooner it would use its retries in vain.
	 */
	long backMillis(long now) {
		return Math.max(0, this.endsAt - now) + START_MILLIS;
	}

	/**
	 * Returns when a request of a route must have its answer at the latest, in
	 * milliseconds. A call gets one before the process ends, if only that its time is
	 * over; a stream that has begun goes on to the end.
	 */
	long latest(Route route) {
		boolean call = route.kind() != RouteKind.STREAM;
		return (call && begun()) ? this.endsAt - ANSWER_MILLIS : Long.MAX_VALUE;
	}

}
