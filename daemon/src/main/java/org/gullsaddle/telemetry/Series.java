package org.gullsaddle.telemetry;

import java.util.concurrent.TimeUnit;

/**
 * The values of a metric under one set of labels. Confined to the lock of its
 * {@link MetricFamily}.
 */
sealed interface Series permits Series.Count, Series.Latencies {

	/**
	 * Adds the values of another series of the same metric.
	 */
	void merge(Series other);

	/**
	 * Counts events.
	 */
	final class Count implements Series {

		private long count;

		void increment() {
			this.count++;
		}

		long count() {
			return this.count;
		}

		@Override
		public void merge(Series other) {
			if (other instanceof Count counted) {
				this.count += counted.count;
			}
		}

	}

	/**
	 * Distributes latencies over fixed buckets. Unlike quantiles, buckets can be added
	 * over nodes and scrapes, and a series is as small as its bucket array.
	 */
	final class Latencies implements Series {

		/** Upper bounds of the buckets, in milliseconds; the last bucket has none. */
		private static final long[] BOUNDS_MILLIS = { 5, 10, 25, 50, 75, 100, 250, 500, 1000, 2500, 5000, 10_000,
				30_000, 60_000 };

		private final long[] counts = new long[BOUNDS_MILLIS.length + 1];

		private long totalMillis;

		static int bucketCount() {
			return BOUNDS_MILLIS.length + 1;
		}

		/**
		 * Returns the upper bound of a bucket in seconds, infinite for the last one.
		 */
		static double boundSeconds(int bucket) {
			return (bucket < BOUNDS_MILLIS.length) ? BOUNDS_MILLIS[bucket] / (double) TimeUnit.SECONDS.toMillis(1)
					: Double.POSITIVE_INFINITY;
		}

		void record(long millis) {
			int bucket = 0;
			while (bucket < BOUNDS_MILLIS.length && millis > BOUNDS_MILLIS[bucket]) {
				bucket++;
			}
			this.counts[bucket]++;
			this.totalMillis += millis;
		}

		long count(int bucket) {
			return this.counts[bucket];
		}

		double totalSeconds() {
			return this.totalMillis / (double) TimeUnit.SECONDS.toMillis(1);
		}

		@Override
		public void merge(Series other) {
			if (other instanceof Latencies latencies) {
				for (int i = 0; i < this.counts.length; i++) {
					this.counts[i] += latencies.counts[i];
				}
				this.totalMillis += latencies.totalMillis;
			}
		}

	}

}
