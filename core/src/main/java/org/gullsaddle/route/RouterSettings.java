package org.gullsaddle.route;

import org.gullsaddle.base.Check;
import org.gullsaddle.serve.RetryLimits;

/**
 * The settings of the {@link Router}.
 */
public final class RouterSettings {

	private static final double RETRY_RATIO = 0.09;

	/** Window in which retries keep to their ratio, in milliseconds. */
	private static final long RETRY_WINDOW_MILLIS = 60_000;

	/** Retries that the first requests find before they have earned any. */
	private static final int INITIAL_RETRIES = 5;

	private final String region;

	private final String dataCenter;

	private final int maxAttempts;

	private final RetryLimits retryLimits;

	private final int maxAnswerLength;

	private final int maxOpenRequests;

	private final long attemptEndTimeoutMillis;

	private final long ratingTimeoutMillis;

	private final double spotCheckRatio;

	private RouterSettings(Builder builder) {
		this.region = Check.notNull(builder.region, "region");
		this.dataCenter = Check.notNull(builder.dataCenter, "dataCenter");
		this.maxAttempts = builder.maxAttempts;
		this.retryLimits = builder.retryLimits;
		this.maxAnswerLength = builder.maxAnswerLength;
		this.maxOpenRequests = builder.maxOpenRequests;
		this.attemptEndTimeoutMillis = builder.attemptEndTimeoutMillis;
		this.ratingTimeoutMillis = builder.ratingTimeoutMillis;
		this.spotCheckRatio = builder.spotCheckRatio;
	}

	/**
	 * Returns a builder of settings for a node.
	 * @param region the node's region
	 * @param dataCenter the node's data center
	 * @return a builder with the defaults
	 */
	public static Builder builder(String region, String dataCenter) {
		return new Builder(region, dataCenter);
	}

	/**
	 * Returns the node's region.
	 * @return the region
	 */
	public String region() {
		return this.region;
	}

	/**
	 * Returns the node's data center.
	 * @return the data center
	 */
	public String dataCenter() {
		return this.dataCenter;
	}

	/**
	 * Returns the maximum number of attempts of a request.
	 * @return the number of attempts, the first included
	 */
	public int maxAttempts() {
		return this.maxAttempts;
	}

	/**
	 * Returns what the retry budget allows.
	 * @return the limits
	 */
	public RetryLimits retryLimits() {
		return this.retryLimits;
	}

	/**
	 * Returns the maximum length of an answer.
	 * @return the length in characters
	 */
	public int maxAnswerLength() {
		return this.maxAnswerLength;
	}

	/**
	 * Returns the maximum number of open requests.
	 * @return the number of requests
	 */
	public int maxOpenRequests() {
		return this.maxOpenRequests;
	}

	/**
	 * Returns how long to wait for the end of an attempt after its caller was answered,
	 * before the record is written without it.
	 * @return the time in milliseconds
	 */
	public long attemptEndTimeoutMillis() {
		return this.attemptEndTimeoutMillis;
	}

	/**
	 * Returns how long to wait for the rating of an answer before it is delivered.
	 * @return the time in milliseconds
	 */
	public long ratingTimeoutMillis() {
		return this.ratingTimeoutMillis;
	}

	/**
	 * Returns the ratio of directly delivered answers that are rated afterwards.
	 * @return the ratio, 0 to 1
	 */
	public double spotCheckRatio() {
		return this.spotCheckRatio;
	}

	/**
	 * Builds {@link RouterSettings}.
	 */
	public static final class Builder {

		private final String region;

		private final String dataCenter;

		private int maxAttempts = 4;

		private RetryLimits retryLimits = RetryLimits.within(RETRY_RATIO, RETRY_WINDOW_MILLIS)
			.startingWith(INITIAL_RETRIES);

		private int maxAnswerLength = 1 << 20;

		private int maxOpenRequests = 10_000;

		private long attemptEndTimeoutMillis = 30_000;

		private long ratingTimeoutMillis = 2_000;

		private double spotCheckRatio = 0.1;

		private Builder(String region, String dataCenter) {
			this.region = region;
			this.dataCenter = dataCenter;
		}

		/**
		 * Sets the maximum number of attempts of a request.
		 * @param attempts the number of attempts, the first included
		 * @return this builder
		 */
		public Builder maxAttempts(int attempts) {
			this.maxAttempts = attempts;
			return this;
		}

		/**
		 * Sets what the retry budget allows.
		 * @param limits the limits
		 * @return this builder
		 */
		public Builder retryLimits(RetryLimits limits) {
			this.retryLimits = limits;
			return this;
		}

		/**
		 * Sets the maximum length of an answer.
		 * @param length the length in characters
		 * @return this builder
		 */
		public Builder maxAnswerLength(int length) {
			this.maxAnswerLength = length;
			return this;
		}

		/**
		 * Sets the maximum number of open requests.
		 * @param requests the number of requests
		 * @return this builder
		 */
		public Builder maxOpenRequests(int requests) {
			this.maxOpenRequests = requests;
			return this;
		}

		/**
		 * Sets how long to wait for the end of an attempt after its caller was answered.
		 * @param millis the time in milliseconds
		 * @return this builder
		 */
		public Builder attemptEndTimeoutMillis(long millis) {
			this.attemptEndTimeoutMillis = millis;
			return this;
		}

		/**
		 * Sets how long to wait for the rating of an answer before it is delivered.
		 * @param millis the time in milliseconds
		 * @return this builder
		 */
		public Builder ratingTimeoutMillis(long millis) {
			this.ratingTimeoutMillis = millis;
			return this;
		}

		/**
		 * Sets the ratio of directly delivered answers that are rated afterwards.
		 * @param ratio the ratio, 0 to 1
		 * @return this builder
		 */
		public Builder spotCheckRatio(double ratio) {
			this.spotCheckRatio = ratio;
			return this;
		}

		/**
		 * Builds the settings.
		 * @return the settings
		 */
		public RouterSettings build() {
			return new RouterSettings(this);
		}

	}

}
