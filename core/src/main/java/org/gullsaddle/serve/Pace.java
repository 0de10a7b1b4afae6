package org.gullsaddle.serve;

/**
 * How many times longer than expected of its service a replica takes, by what was known
 * when it was looked at.
 *
 * @param told by what it told of itself
 * @param lasting beyond that, by how long its answers took
 */
public record Pace(double told, double lasting) {

	/** The pace of a replica whose service tells none. */
	public static final Pace USUAL = new Pace(1, 1);

	/**
	 * Returns how many times longer it takes altogether.
	 * @return more than 0, 1 for as long as expected
	 */
	public double factor() {
		return this.told * this.lasting;
	}

}
