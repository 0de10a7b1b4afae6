package org.gullsaddle.serve;

/**
 * The expected delay of a first event, and its uncertainty.
 *
 * @param expectedMillis the expected delay, in milliseconds
 * @param deviationMillis the standard deviation from it, in milliseconds
 */
public record DelayEstimate(double expectedMillis, double deviationMillis) {

	/**
	 * Returns the estimate where everything takes longer.
	 * @param factor how many times longer
	 * @return the scaled estimate
	 */
	DelayEstimate scaledBy(double factor) {
		return new DelayEstimate(factor * this.expectedMillis, factor * this.deviationMillis);
	}

	/**
	 * Returns the probability that the first event is in time.
	 * @param millis the time that it has, in milliseconds
	 * @return 0 to 1
	 */
	public double probabilityWithin(double millis) {
		return NormalDistribution.probabilityBelow(millis, this.expectedMillis, Math.max(1, this.deviationMillis));
	}

}
