package org.gullsaddle.allowance;

import org.gullsaddle.template.TeamRule;

/**
 * This entry's share of one allowance, and its use. Times are in milliseconds on the
 * monotonic clock.
 */
final class Allowance {

	/** The burst size, in seconds of the granted rate. */
	private static final double BURST_SECONDS = 1;

	private static final double DEMAND_SMOOTHING_RATIO = 0.3;

	private TeamRule rule;

	private double share;

	private long validUntil = Long.MIN_VALUE;

	private double tokens;

	private long refilledAt;

	private int running;

	private int peakRunning;

	private long requestCount;

	private double demand;

	private long day = Long.MIN_VALUE;

	private long budgetLeftMicros;

	private boolean budgetShort;

	Allowance(TeamRule rule, long now) {
		this.rule = rule;
		this.refilledAt = now;
	}

	void rule(TeamRule newRule) {
		this.rule = newRule;
	}

	TeamRule rule() {
		return this.rule;
	}

	double share(long now) {
		return (now < this.validUntil) ? this.share : 0;
	}

	void grantShare(double newShare, long until, long now) {
		refill(now);
		boolean first = this.validUntil == Long.MIN_VALUE;
		this.share = newShare;
		this.validUntil = until;
		this.tokens = first ? burst() : Math.min(this.tokens, burst());
	}

	void reduceShare(double newShare, long now) {
		refill(now);
		this.share = Math.min(this.share, newShare);
		this.tokens = Math.min(this.tokens, burst());
	}

	/**
	 * Reserves rate, concurrency and budget for a request, or returns what is short.
	 */
	Shortage acquire(long now, long today, long costMicros) {
		refill(now);
		this.requestCount++;
		double granted = share(now);
		if (granted == 0) {
			return Shortage.NO_GRANT;
		}
		if (today != this.day || this.budgetLeftMicros < costMicros) {
			this.budgetShort = true;
			return Shortage.BUDGET;
		}
		if (this.running >= concurrencyLimit(granted)) {
			return Shortage.CONCURRENCY;
		}
		if (this.tokens < 1) {
			return Shortage.RATE;
		}
		this.tokens--;
		this.running++;
		this.peakRunning = Math.max(this.peakRunning, this.running);
		this.budgetLeftMicros -= costMicros;
		return Shortage.NONE;
	}

	void release(long takenDay, long reservedMicros, long costMicros) {
		this.running--;
		if (takenDay == this.day) {
			this.budgetLeftMicros += reservedMicros - costMicros;
		}
	}

	private int concurrencyLimit(double granted) {
		return (int) Math.floor(this.rule.concurrent() * granted + 1e-9);
	}

	private double burst() {
		return Math.max(1, this.rule.requestsPerSecond() * this.share * BURST_SECONDS);
	}

	private void refill(long now) {
		double elapsed = Math.max(0, now - this.refilledAt) / 1000.0;
		this.refilledAt = now;
		this.tokens = Math.min(burst(), this.tokens + elapsed * this.rule.requestsPerSecond() * share(now));
	}

	/**
	 * Returns the share of the allowance that this entry could use, from its requests
	 * since the last call, and starts a new measurement.
	 */
	double measureWantedShare(long elapsedMillis) {
		double perSecond = this.requestCount * 1000.0 / Math.max(1, elapsedMillis);
		double used = Math.max(perSecond / this.rule.requestsPerSecond(),
				(double) this.peakRunning / this.rule.concurrent());
		this.requestCount = 0;
		this.peakRunning = this.running;
		// Demand rises at once and decays slowly.
		this.demand = (used > this.demand) ? used : this.demand + DEMAND_SMOOTHING_RATIO * (used - this.demand);
		return Math.min(1, this.demand * 1.25);
	}

	boolean needsBudget(long today, long chunk) {
		return today != this.day || this.budgetShort || this.budgetLeftMicros < chunk / 2;
	}

	void addBudget(long today, long micros) {
		if (today != this.day) {
			this.day = today;
			this.budgetLeftMicros = 0;
		}
		this.budgetLeftMicros += micros;
		this.budgetShort = false;
	}

	/**
	 * Which limit a request exceeds.
	 */
	enum Shortage {

		NONE, NO_GRANT, RATE, CONCURRENCY, BUDGET

	}

}
