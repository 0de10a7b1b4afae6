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
 * <p>
 * Where requests are few, one that fails may find that none is earned. For these a node
 * has a share of the retries that are allowed beyond the ratio, once it has run for a
 * window: one that starts again and again does not get it anew.
 */
public final class RetryBudget {

	/** Makes up for the rounding of sums of fractions. */
	private static final double ROUNDING = 1e-9;

	private final RetryLimits limits;

	/** When each saved retry lapses, in milliseconds; the oldest is first. */
	private final Deque<Long> lapseTimes = new ArrayDeque<>();

	/**
	 * When each spare retry that was spent may be spent again, in milliseconds; the
	 * oldest is first.
	 */
	private final Deque<Long> spareTimes = new ArrayDeque<>();

	/** When there are spare retries, in milliseconds; negative before the first call. */
	private long spareFrom = -1;

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
		advance(now);
		this.fraction += this.limits.earnedPerRequest();
		while (this.fraction >= 1 - ROUNDING) {
			this.fraction--;
			this.lapseTimes.addLast(now + this.limits.lifetimeMillis());
		}
	}

	/**
	 * Takes an earned retry out of the budget, or a spare one if none is earned.
	 * @param now the time in milliseconds
	 * @param nodes the number of nodes that share the spare retries, 0 if it is not known
	 * @return true if there was one
	 */
	public boolean trySpend(long now, int nodes) {
		advance(now);
		if (this.lapseTimes.pollFirst() != null) {
			return true;
		}
		if (now < this.spareFrom || this.spareTimes.size() >= this.limits.spareRetries(nodes)) {
			return false;
		}
		this.spareTimes.addLast(now + this.limits.windowMillis());
		return true;
	}

	/**
	 * Returns the earned retries that may be spent now.
	 * @param now the time in milliseconds
	 * @return their number
	 */
	public int savedRetries(long now) {
		advance(now);
		return this.lapseTimes.size();
	}

	private void advance(long now) {
		if (this.spareFrom < 0) {
			this.spareFrom = now + this.limits.windowMillis();
		}
		removePast(now, this.lapseTimes);
		removePast(now, this.spareTimes);
	}

	private static void removePast(long now, Deque<Long> times) {
		while (!times.isEmpty() && times.peekFirst() <= now) {
			times.removeFirst();
		}
	}

}
