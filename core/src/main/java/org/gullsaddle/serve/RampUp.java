package org.gullsaddle.serve;

/**
 * How the share of a new release rises once it is proved, as far as a node knows: it does
 * not by old knowledge, as the release may have been taken back. Confined to one thread.
 */
final class RampUp {

	/**
	 * How old a node's knowledge of the others' evidence may be for the share to rise:
	 * this part of the roll-out's time, and at least so many milliseconds.
	 */
	private static final double MAX_PEER_STATE_AGE_RATIO = 0.1;

	private static final long MIN_MAX_PEER_STATE_AGE_MILLIS = 2500;

	private final long durationMillis;

	/** Until when what this node knows of the others is new enough. */
	private long freshUntil;

	/** When it is so old that the release may have been taken back long ago. */
	private long cutOffAt = Long.MAX_VALUE;

	/** When it was proved, by any node, in milliseconds since the order; 0 if not yet. */
	private long provedMillis;

	/** The share of all requests since the proof. */
	private double share;

	/**
	 * Makes the growth of a release of whose order a node has just heard.
	 */
	RampUp(long now, long durationMillis) {
		this.durationMillis = durationMillis;
		this.freshUntil = now + maxPeerStateAgeMillis();
	}

	/**
	 * Takes in how old what this node knows of the others may be.
	 */
	void onPeerStateAge(long now, long ageMillis) {
		this.freshUntil = now - ageMillis + maxPeerStateAgeMillis();
		this.cutOffAt = this.freshUntil + maxPeerStateAgeMillis();
	}

	private long maxPeerStateAgeMillis() {
		return Math.max(MIN_MAX_PEER_STATE_AGE_MILLIS, Math.round(MAX_PEER_STATE_AGE_RATIO * this.durationMillis));
	}

	boolean isPeerStateFresh(long now) {
		return now <= this.freshUntil;
	}

	boolean isCutOff(long now) {
		return now > this.cutOffAt;
	}

	/**
	 * Takes in that the release was proved, by this node or another one.
	 * @param elapsedMillis when, since the order
	 */
	void onProved(long elapsedMillis) {
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
	double provedAtRatio() {
		return (double) this.provedMillis / this.durationMillis;
	}

	/**
	 * Lets the share rise to what a time allows.
	 * @param part the time, as a part of the roll-out's
	 */
	void raiseShare(double part) {
		this.share = Math.max(this.share, RampUpSchedule.provedShare(part, provedAtRatio()));
	}

	double share() {
		return this.share;
	}

}
