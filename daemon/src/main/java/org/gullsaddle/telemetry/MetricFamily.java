package org.gullsaddle.telemetry;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * A metric with labels. Label values come from configurations and callers, so there is a
 * limit to the number of series and to the length of a value. What exceeds the number is
 * recorded in one series whose labels all read {@value #OTHER}. A series that is dropped
 * is added to it, so that the sum over all series never falls. Thread-safe.
 */
final class MetricFamily {

	/** The value of all labels of the series that stands for series that are not kept. */
	static final String OTHER = "other";

	/** Most series besides the one for all others. */
	static final int MAX_SERIES = 1000;

	/** Longest label value, in characters; the rest of it is cut off. */
	static final int MAX_LABEL_LENGTH = 128;

	private final String name;

	private final List<String> labels;

	private final Supplier<Series> newSeries;

	private final Map<List<String>, Series> series = new HashMap<>();

	private final List<String> otherValues;

	private long overflowCount;

	private MetricFamily(String name, Supplier<Series> newSeries, String... labels) {
		this.name = name;
		this.newSeries = newSeries;
		this.labels = List.of(labels);
		this.otherValues = Collections.nCopies(labels.length, OTHER);
	}

	static MetricFamily counter(String name, String... labels) {
		return new MetricFamily(name, Series.Count::new, labels);
	}

	static MetricFamily histogram(String name, String... labels) {
		return new MetricFamily(name, Series.Latencies::new, labels);
	}

	String name() {
		return this.name;
	}

	List<String> labels() {
		return this.labels;
	}

	boolean isHistogram() {
		return this.newSeries.get() instanceof Series.Latencies;
	}

	/**
	 * Counts an event.
	 * @param values the label values, in the order of the labels
	 */
	synchronized void increment(Object... values) {
		if (seriesOf(values) instanceof Series.Count count) {
			count.increment();
		}
	}

	/**
	 * Records a latency.
	 * @param values the label values, in the order of the labels
	 */
	synchronized void record(long millis, Object... values) {
		if (seriesOf(values) instanceof Series.Latencies latencies) {
			latencies.record(millis);
		}
	}

	private Series seriesOf(Object... values) {
		List<String> key = Stream.of(values).map(MetricFamily::shorten).toList();
		Series known = this.series.get(key);
		if (known != null) {
			return known;
		}
		if (this.series.size() < MAX_SERIES) {
			return this.series.computeIfAbsent(key, (missing) -> this.newSeries.get());
		}
		this.overflowCount++;
		return other();
	}

	private Series other() {
		return this.series.computeIfAbsent(this.otherValues, (missing) -> this.newSeries.get());
	}

	/**
	 * Drops the series whose value of a label is no longer in use.
	 * @param label the label; a metric without it is not changed
	 * @param inUse the values to keep
	 */
	synchronized void retain(String label, Set<String> inUse) {
		int position = this.labels.indexOf(label);
		if (position < 0) {
			return;
		}
		List<Series> dropped = new ArrayList<>();
		for (Iterator<Map.Entry<List<String>, Series>> all = this.series.entrySet().iterator(); all.hasNext();) {
			Map.Entry<List<String>, Series> each = all.next();
			if (!each.getKey().equals(this.otherValues) && !isIn(inUse, each.getKey().get(position))) {
				dropped.add(each.getValue());
				all.remove();
			}
		}
		dropped.forEach((each) -> other().merge(each));
	}

	/**
	 * Returns how many events were recorded under {@link #OTHER} because there were too
	 * many series.
	 */
	synchronized long overflowCount() {
		return this.overflowCount;
	}

	/**
	 * Returns the label values of all series.
	 */
	synchronized List<List<String>> keys() {
		return List.copyOf(this.series.keySet());
	}

	/**
	 * Writes the samples of some series as text.
	 * @param keys their label values; what was dropped meanwhile is left out
	 */
	synchronized void write(List<List<String>> keys, PrometheusText text) {
		for (List<String> key : keys) {
			Series each = this.series.get(key);
			if (each != null) {
				text.series(this, key, each);
			}
		}
	}

	private static boolean isIn(Set<String> inUse, String value) {
		return inUse.contains(value)
				|| (value.length() == MAX_LABEL_LENGTH && inUse.stream().anyMatch((each) -> each.startsWith(value)));
	}

	private static String shorten(Object value) {
		String text = String.valueOf(value);
		return (text.length() > MAX_LABEL_LENGTH) ? text.substring(0, MAX_LABEL_LENGTH) : text;
	}

}
