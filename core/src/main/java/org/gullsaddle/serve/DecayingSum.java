package org.gullsaddle.serve;

/**
 * A sum whose parts decay exponentially with age. Confined to one thread.
 */
final class DecayingSum {

	private final double halfLifeMillis;

	private double sum;

	private long updatedAt;

	private long startedAt;

	private boolean started;

	/**
	 * Creates a sum of zero.
	 * @param halfLifeMillis the half-life in milliseconds
	 */
	DecayingSum(double halfLifeMillis) {
		this.halfLifeMillis = halfLifeMillis;
	}

	void add(long now, double amount) {
		sum(now);
		this.sum += amount;
	}

	double sum(long now) {
		if (!this.started) {
			this.started = true;
			this.startedAt = now;
			this.updatedAt = now;
		}
		double passed = Math.max(0, now - this.updatedAt);
		this.sum *= Math.pow(0.5, passed / this.halfLifeMillis);
		this.updatedAt = Math.max(this.updatedAt, now);
		return this.sum;
	}

	/**
	 * Returns the recent mean rate, per millisecond.
	 */
	double ratePerMilli(long now) {
		double recent = sum(now);
		double remembered = (1 - Math.pow(0.5, Math.max(1, now - this.startedAt) / this.halfLifeMillis))
				* this.halfLifeMillis / Math.log(2);
		return recent / remembered;
	}

}
