package org.gullsaddle.serve;

/**
 * How many times longer than expected of its service a replica takes, by what was known
 * when it was looked at.
 *
 * @param reported by what it told of itself
 * @param learned beyond that, by how long its answers took
 */
public record Slowdown(double reported, double learned) {

	/** The pace of a replica whose service tells none. */
	public static final Slowdown NONE = new Slowdown(1, 1);

	/**
	 * Returns how many times longer it takes altogether.
	 * @return more than 0, 1 for as long as expected
	 */
	public double factor() {
		return this.reported * this.learned;
	}

}
