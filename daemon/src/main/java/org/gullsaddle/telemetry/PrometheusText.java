package org.gullsaddle.telemetry;

import java.util.List;

/**
 * Builds a part of a page in the Prometheus text format.
 */
final class PrometheusText {

	private final StringBuilder text = new StringBuilder();

	/**
	 * Writes the type of a metric, which precedes its samples.
	 */
	void type(MetricFamily family) {
		this.text.append("# TYPE ").append(family.name()).append(family.isHistogram() ? " histogram\n" : " counter\n");
	}

	/**
	 * Writes the samples of a series.
	 */
	void series(MetricFamily family, List<String> values, Series series) {
		String labels = labels(family.labels(), values);
		switch (series) {
			case Series.Count count -> sample(family.name(), labels, count.count());
			case Series.Latencies latencies -> latencies(family.name(), labels, latencies);
		}
	}

	private void latencies(String name, String labels, Series.Latencies latencies) {
		long count = 0;
		for (int i = 0; i < Series.Latencies.bucketCount(); i++) {
			count += latencies.count(i);
			double bound = Series.Latencies.boundSeconds(i);
			String le = Double.isInfinite(bound) ? "+Inf" : Double.toString(bound);
			sample(name + "_bucket", labels + "le=\"" + le + "\",", count);
		}
		sample(name + "_sum", labels, latencies.totalSeconds());
		sample(name + "_count", labels, count);
	}

	private void sample(String name, String labels, double value) {
		this.text.append(name).append('{').append(labels).append("} ").append(value).append('\n');
	}

	private static String labels(List<String> names, List<String> values) {
		StringBuilder labels = new StringBuilder();
		for (int i = 0; i < names.size(); i++) {
			labels.append(names.get(i)).append("=\"").append(escape(values.get(i))).append("\",");
		}
		return labels.toString();
	}

	private static String escape(String value) {
		return value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
	}

	@Override
	public String toString() {
		return this.text.toString();
	}

}
