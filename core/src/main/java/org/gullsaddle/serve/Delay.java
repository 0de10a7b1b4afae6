package org.gullsaddle.serve;

/**
 * When a first event is expected, and how sure that is.
 *
 * @param expectedMillis how long it is expected to take, in milliseconds
 * @param deviationMillis the standard deviation from that, in milliseconds
 */
public record Delay(double expectedMillis, double deviationMillis) {

	/** Makes a logistic curve follow the normal distribution within one percent. */
	private static final double LOGISTIC_SLOPE = 1.702;

	/**
	 * Returns the chance that it comes in time.
	 * @param millis the time that it has, in milliseconds
	 * @return 0 to 1
	 */
	public double chanceWithin(double millis) {
		double deviations = (millis - this.expectedMillis) / Math.max(1, this.deviationMillis);
		return 1 / (1 + Math.exp(-LOGISTIC_SLOPE * deviations));
	}

}
