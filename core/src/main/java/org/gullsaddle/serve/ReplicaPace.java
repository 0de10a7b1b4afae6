package org.gullsaddle.serve;

/**
 * How long a replica takes for its work beside its peers, by the figures that it tells
 * and the delays of its answers. Confined to one thread.
 * <p>
 * A figure may or may not include how fast the replica is for good. So delays are
 * compared with what the figures explain, and only the rest is learned: neither counts
 * twice.
 */
final class ReplicaPace {

	/** How long a figure stays about as it was, in milliseconds. */
	private static final double FIGURE_HOLDS_MILLIS = 300;

	/** How long what is known of a replica that tells nothing lasts, likewise. */
	private static final double HOLDS_MILLIS = 30_000;

	private static final double PERCENT = 100;

	private static final double LEAST = 0.4;

	private static final double MOST_TOLD = 10;

	private static final double MOST_LASTING = 3;

	/** What a figure counts in the usual one, if it tells nothing of that before it. */
	private static final double FIGURE_WEIGHT = 0.1;

	/** The variance of lasting paces, in logarithms. */
	static final double PACE_VARIANCE = 0.16;

	/** The least variance of a replica's delays beside what is expected, likewise. */
	private static final double LEAST_VARIANCE = 0.09;

	/** By how much one delay may count as off, likewise. */
	private static final double MOST_RATIO = Math.log(10);

	private final FadingMean figures = new FadingMean();

	private final FadingMean lasting = new FadingMean();

	private double figure = 1;

	private long at = Long.MIN_VALUE;

	boolean told() {
		return this.at != Long.MIN_VALUE;
	}

	/**
	 * Takes in a figure.
	 * @param percent how long work takes now, 100 as usual
	 */
	void told(long now, int percent, PeerPace peers) {
		double left = left(now, HOLDS_MILLIS);
		this.figures.fade(left);
		this.lasting.fade(left);
		double weight = FIGURE_WEIGHT * (1 - left(now, FIGURE_HOLDS_MILLIS));
		this.figure = Math.clamp(percent / PERCENT, LEAST, MOST_TOLD);
		this.figures.add(this.figure, weight);
		peers.told(this.figure, weight);
		this.at = now;
	}

	/**
	 * Returns its pace for work that begins now.
	 * @param millis how long the work takes at a usual pace
	 */
	Slowdown at(long now, double millis, PeerPace peers) {
		double left = left(now, HOLDS_MILLIS);
		double usual = this.figures.beside(peers.figure(), left);
		double slower = Math.exp(this.lasting.beside(0, left));
		double bounded = Math.clamp(slower, LEAST, MOST_LASTING);
		return new Slowdown(usual * passing(now, usual, Math.max(1, millis * usual * bounded)), bounded);
	}

	/**
	 * Returns how many times longer work takes as the pace is not the usual one, which it
	 * comes back to meanwhile: a short piece of work is slowed as a whole, a long one at
	 * its beginning. The pace falls off exponentially; this is the time in which work
	 * that is done at that pace ends.
	 */
	private double passing(long now, double usual, double millis) {
		double more = (this.figure / usual - 1) * left(now, FIGURE_HOLDS_MILLIS);
		double part = -Math.expm1(-millis / FIGURE_HOLDS_MILLIS);
		return 1 + FIGURE_HOLDS_MILLIS / millis * Math.log1p(more * part);
	}

	/**
	 * Learns from the delay of an answer.
	 * @param choice what was expected of it
	 */
	void took(ReplicaChoice choice, double millis, PeerPace peers) {
		double expected = Math.max(1, choice.delay().expectedMillis());
		double ratio = Math.log(Math.max(1, millis) / expected * choice.slowdown().learned());
		double bounded = Math.clamp(ratio, -MOST_RATIO, MOST_RATIO);
		double beside = bounded - peers.ratio();
		double variance = peers.variance(beside - this.lasting.beside(0, 1));
		this.lasting.add(beside, PACE_VARIANCE / Math.max(LEAST_VARIANCE, variance));
		peers.took(bounded);
	}

	private double left(long now, double holds) {
		return told() ? Math.exp(-Math.max(0, now - this.at) / holds) : 0;
	}

}
