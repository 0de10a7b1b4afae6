package org.gullsaddle.serve;

/**
 * The share of a new release from its proof on, as known to this node. The share does not
 * rise while the peers' state known here is outdated, because the release may have been
 * rolled back meanwhile. Confined to one thread.
 */
final class RampUp {

	/**
	 * The greatest age of the peers' evidence at which the share may rise, as a ratio of
	 * the roll-out's duration.
	 */
	private static final double MAX_PEER_STATE_AGE_RATIO = 0.1;

	/** The lower bound of that age. */
	private static final long MIN_MAX_PEER_STATE_AGE_MILLIS = 2500;

	private final long durationMillis;

	/** Until when the known state of the peers is recent enough. */
	private long freshUntil;

	/** From when it is so old that the release may have been rolled back long ago. */
	private long cutOffAt = Long.MAX_VALUE;

	/**
	 * When any node proved the release, in milliseconds since the order; 0 if none has.
	 */
	private long provedMillis;

	/** The share of all requests since the proof. */
	private double share;

	/**
	 * Creates the ramp-up of a release of whose order this node has just learned.
	 */
	RampUp(long now, long durationMillis) {
		this.durationMillis = durationMillis;
		this.freshUntil = now + maxPeerStateAgeMillis();
	}

	/**
	 * Updates the greatest possible age of the peers' state that this node knows.
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
	 * Records that this node or a peer proved the release. The earliest proof counts.
	 * @param elapsedMillis when it was proved, in milliseconds since the order
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
	 * Returns when the release was proved, as a ratio of the roll-out's duration; 0 if it
	 * is not proved.
	 */
	double provedAtRatio() {
		return (double) this.provedMillis / this.durationMillis;
	}

	/**
	 * Raises the share to what the schedule allows at a time.
	 * @param elapsedRatio the elapsed time as a ratio of the roll-out's duration
	 */
	void raiseShare(double elapsedRatio) {
		this.share = Math.max(this.share, RampUpSchedule.provedShare(elapsedRatio, provedAtRatio()));
	}

	double share() {
		return this.share;
	}

}
