package org.gullsaddle.serve;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the retries of one service to a ratio of its requests.
 * <p>
 * Without a limit, when many backend servers fail at once, every request is sent several
 * times, and the retries overload the remaining servers: latency rises, more requests
 * time out, and the load grows further.
 * <p>
 * A retry must be earned by requests and lapses if it is not spent soon. So whatever is
 * spent within some time was earned within it or shortly before. This holds for the sum
 * over any number of nodes, also if some of them start anew or take over others'
 * requests, without exchanging anything. Retries that are saved without limit in time do
 * not add up like that: all nodes may spend their savings at once.
 */
public final class RetryBudget {

	/** Makes up for the rounding of sums of fractions. */
	private static final double ROUNDING = 1e-9;

	private final RetryLimits limits;

	/** When each saved retry lapses, in milliseconds; the oldest is first. */
	private final Deque<Long> lapseTimes = new ArrayDeque<>();

	/** Part of the next retry that is already earned. */
	private double fraction;

	/**
	 * Creates a budget.
	 * @param limits what requests earn
	 */
	public RetryBudget(RetryLimits limits) {
		this.limits = limits;
		this.fraction = limits.initial();
	}

	/**
	 * Adds what a request earns, whatever becomes of it.
	 * @param now the time in milliseconds
	 */
	public void earn(long now) {
		removeLapsed(now);
		this.fraction += this.limits.earnedPerRequest();
		while (this.fraction >= 1 - ROUNDING) {
			this.fraction--;
			this.lapseTimes.addLast(now + this.limits.lifetimeMillis());
		}
	}

	/**
	 * Takes a retry out of the budget if there is one.
	 * @param now the time in milliseconds
	 * @return true if there was one
	 */
	public boolean trySpend(long now) {
		removeLapsed(now);
		return this.lapseTimes.pollFirst() != null;
	}

	/**
	 * Returns the retries that may be spent now.
	 * @param now the time in milliseconds
	 * @return their number
	 */
	public int savedRetries(long now) {
		removeLapsed(now);
		return this.lapseTimes.size();
	}

	private void removeLapsed(long now) {
		while (!this.lapseTimes.isEmpty() && this.lapseTimes.peekFirst() <= now) {
			this.lapseTimes.removeFirst();
		}
	}

}
