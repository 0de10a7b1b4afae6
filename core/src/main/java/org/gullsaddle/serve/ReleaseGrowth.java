package org.gullsaddle.serve;

/**
 * How the share of a new release rises once it is proved, as far as a node knows: it does
 * not by old knowledge, as the release may have been taken back. Confined to one thread.
 */
final class ReleaseGrowth {

	/**
	 * How old a node's knowledge of the others' evidence may be for the share to rise:
	 * this part of the roll-out's time, and at least so many milliseconds.
	 */
	private static final double MAX_AGE = 0.1;

	private static final long MIN_MAX_AGE_MILLIS = 2500;

	private final long durationMillis;

	/** Until when what this node knows of the others is new enough. */
	private long trustedUntil;

	/** When it is so old that the release may have been taken back long ago. */
	private long cutOffAt = Long.MAX_VALUE;

	/** When it was proved, by any node, in milliseconds since the order; 0 if not yet. */
	private long provedMillis;

	/** The share of all requests since the proof. */
	private double share;

	/**
	 * Makes the growth of a release of whose order a node has just heard.
	 */
	ReleaseGrowth(long now, long durationMillis) {
		this.durationMillis = durationMillis;
		this.trustedUntil = now + maxAge();
	}

	/**
	 * Takes in how old what this node knows of the others may be.
	 */
	void known(long now, long ageMillis) {
		this.trustedUntil = now - ageMillis + maxAge();
		this.cutOffAt = this.trustedUntil + maxAge();
	}

	private long maxAge() {
		return Math.max(MIN_MAX_AGE_MILLIS, Math.round(MAX_AGE * this.durationMillis));
	}

	boolean trusted(long now) {
		return now <= this.trustedUntil;
	}

	boolean cutOff(long now) {
		return now > this.cutOffAt;
	}

	/**
	 * Takes in that the release was proved, by this node or another one.
	 * @param elapsedMillis when, since the order
	 */
	void proved(long elapsedMillis) {
		this.provedMillis = (this.provedMillis > 0) ? Math.min(this.provedMillis, elapsedMillis) : elapsedMillis;
	}

	boolean isProved() {
		return this.provedMillis > 0;
	}

	long provedMillis() {
		return this.provedMillis;
	}

	/**
	 * Returns when it was proved, as a part of the roll-out's time, 0 if it is not.
	 */
	double provedAt() {
		return (double) this.provedMillis / this.durationMillis;
	}

	/**
	 * Lets the share rise to what a time allows.
	 * @param part the time, as a part of the roll-out's
	 */
	void rise(double part) {
		this.share = Math.max(this.share, ReleaseRamp.proved(part, provedAt()));
	}

	double share() {
		return this.share;
	}

}
