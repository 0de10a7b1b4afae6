package org.gullsaddle.serve;

/**
 * A sum of what came lately, older parts less. Confined to one thread.
 */
final class DecayingSum {

	private final double halfLifeMillis;

	private double sum;

	private long updatedAt;

	private long startedAt;

	private boolean started;

	/**
	 * Begins with nothing.
	 * @param halfMillis the time until half is forgotten
	 */
	DecayingSum(double halfMillis) {
		this.halfLifeMillis = halfMillis;
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
	 * Returns how much came, a millisecond.
	 */
	double ratePerMilli(long now) {
		double recent = sum(now);
		double remembered = (1 - Math.pow(0.5, Math.max(1, now - this.startedAt) / this.halfLifeMillis))
				* this.halfLifeMillis / Math.log(2);
		return recent / remembered;
	}

}
