package org.gullsaddle.serve;

/**
 * When a first event is expected, and how sure that is.
 *
 * @param expectedMillis how long it is expected to take, in milliseconds
 * @param deviationMillis the standard deviation from that, in milliseconds
 */
public record DelayEstimate(double expectedMillis, double deviationMillis) {

	/**
	 * Returns the delay where all takes longer.
	 * @param factor how many times longer
	 * @return the delay there
	 */
	DelayEstimate scaledBy(double factor) {
		return new DelayEstimate(factor * this.expectedMillis, factor * this.deviationMillis);
	}

	/**
	 * Returns the chance that it comes in time.
	 * @param millis the time that it has, in milliseconds
	 * @return 0 to 1
	 */
	public double probabilityWithin(double millis) {
		return NormalDistribution.probabilityBelow(millis, this.expectedMillis, Math.max(1, this.deviationMillis));
	}

}
