package org.gullsaddle.telemetry;

import java.util.Iterator;
import java.util.List;

/**
 * A page of metrics in parts of bounded size, each built when it is asked for.
 */
final class MetricsPage implements Iterator<String> {

	/** Series in one part. */
	static final int SERIES_PER_PART = 50;

	private final Iterator<MetricFamily> families;

	private String next;

	private MetricFamily family;

	private List<List<String>> keys = List.of();

	private int written;

	/**
	 * Creates a page.
	 * @param first the first part
	 * @param families the metrics of the further parts
	 */
	MetricsPage(String first, List<MetricFamily> families) {
		this.next = first;
		this.families = families.iterator();
	}

	@Override
	public boolean hasNext() {
		return this.next != null || this.written < this.keys.size() || this.families.hasNext();
	}

	@Override
	public String next() {
		if (this.next != null) {
			String first = this.next;
			this.next = null;
			return first;
		}
		PrometheusText text = new PrometheusText();
		if (this.written == this.keys.size()) {
			this.family = this.families.next();
			this.keys = this.family.keys();
			this.written = 0;
			if (!this.keys.isEmpty()) {
				text.type(this.family);
			}
		}
		int end = Math.min(this.keys.size(), this.written + SERIES_PER_PART);
		this.family.write(this.keys.subList(this.written, end), text);
		this.written = end;
		return text.toString();
	}

}
