package org.gullsaddle.serve;

/**
 * How many times longer a replica takes than expected of its service, as estimated when
 * the replica was considered.
 *
 * @param reported the slowdown that it reported
 * @param learned the slowdown beyond that, learned from the delays of its answers
 */
public record Slowdown(double reported, double learned) {

	/** The slowdown of a replica whose service reports none. */
	public static final Slowdown NONE = new Slowdown(1, 1);

	/**
	 * Returns how many times longer it takes altogether.
	 * @return more than 0, 1 if it takes as long as expected
	 */
	public double factor() {
		return this.reported * this.learned;
	}

}
