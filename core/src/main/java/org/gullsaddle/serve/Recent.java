package org.gullsaddle.serve;

/**
 * A sum of what came lately, older parts less. Confined to one thread.
 */
final class Recent {

	private final double halfMillis;

	private double sum;

	private long at;

	private long since;

	private boolean begun;

	/**
	 * Begins with nothing.
	 * @param halfMillis the time until half is forgotten
	 */
	Recent(double halfMillis) {
		this.halfMillis = halfMillis;
	}

	void add(long now, double amount) {
		sum(now);
		this.sum += amount;
	}

	double sum(long now) {
		if (!this.begun) {
			this.begun = true;
			this.since = now;
			this.at = now;
		}
		double passed = Math.max(0, now - this.at);
		this.sum *= Math.pow(0.5, passed / this.halfMillis);
		this.at = Math.max(this.at, now);
		return this.sum;
	}

	/**
	 * Returns how much came, a millisecond.
	 */
	double rate(long now) {
		double recent = sum(now);
		double remembered = (1 - Math.pow(0.5, Math.max(1, now - this.since) / this.halfMillis)) * this.halfMillis
				/ Math.log(2);
		return recent / remembered;
	}

}
