package org.gullsaddle.telemetry;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;

import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.TemplateName;

/**
 * A node's metrics. Thread-safe.
 */
public final class Telemetry {

	/** Most metrics without labels that are counted. */
	private static final int MAX_COUNTERS = 200;

	private static final String PREFIX = "gullsaddle.";

	private final MetricRegistry metrics = new MetricRegistry();

	private final CollectorRegistry collectors = new CollectorRegistry();

	private final Map<String, Counter> counters = new ConcurrentHashMap<>();

	private final MetricFamily whole = MetricFamily.histogram("gullsaddle_whole_seconds", "template", "team");

	private final MetricFamily first = MetricFamily.histogram("gullsaddle_first_token_seconds", "template", "team");

	private final MetricFamily between = MetricFamily.histogram("gullsaddle_between_tokens_seconds", "template",
			"team");

	private final MetricFamily outcomes = MetricFamily.counter("gullsaddle_requests", "template", "team", "outcome");

	private final MetricFamily requests = MetricFamily.histogram("gullsaddle_request_seconds", "route", "team",
			"outcome");

	private final MetricFamily attempts = MetricFamily.counter("gullsaddle_attempts", "service", "end");

	private final MetricFamily retries = MetricFamily.counter("gullsaddle_retries", "service", "reason", "outcome");

	private final MetricFamily firstEvents = MetricFamily.histogram("gullsaddle_first_event_seconds", "route", "model");

	private final MetricFamily delayErrors = MetricFamily.histogram("gullsaddle_delay_error_seconds", "service",
			"model");

	private final MetricFamily served = MetricFamily.counter("gullsaddle_served", "template", "version");

	private final List<MetricFamily> families = List.of(this.whole, this.first, this.between, this.outcomes,
			this.requests, this.attempts, this.retries, this.firstEvents, this.delayErrors, this.served);

	/**
	 * Makes an empty set of metrics.
	 */
	public Telemetry() {
		new DropwizardExports(this.metrics).register(this.collectors);
		gauge("metric.series", () -> this.families.stream().mapToInt((family) -> family.keys().size()).sum());
		gauge("metric.series.overflow", () -> this.families.stream().mapToLong(MetricFamily::overflowCount).sum());
	}

	/**
	 * Notes how long a request took to its end.
	 * @param template its template
	 * @param team its team
	 * @param millis milliseconds
	 */
	public void whole(TemplateName template, TeamId team, long millis) {
		this.whole.record(millis, template, team);
	}

	/**
	 * Notes how long a request took to the first part of its answer.
	 * @param template its template
	 * @param team its team
	 * @param millis milliseconds
	 */
	public void first(TemplateName template, TeamId team, long millis) {
		this.first.record(millis, template, team);
	}

	/**
	 * Notes the time between two parts of an answer.
	 * @param template its template
	 * @param team its team
	 * @param millis milliseconds
	 */
	public void between(TemplateName template, TeamId team, long millis) {
		this.between.record(millis, template, team);
	}

	/**
	 * Notes the end of a request that went straight to replicas.
	 * @param route its route
	 * @param team its team
	 * @param outcome {@code served}, {@code refused}, {@code failed} or {@code left}
	 * @param millis how long it took, in milliseconds
	 */
	public void request(String route, String team, String outcome, long millis) {
		this.requests.record(millis, route, team, outcome);
	}

	/**
	 * Counts an attempt at a replica by its end.
	 * @param service the replica's service
	 * @param end {@code answered}, {@code failed}, {@code not-run}, {@code broken},
	 * {@code withdrawn} or {@code dropped}
	 */
	public void attempt(String service, String end) {
		this.attempts.increment(service, end);
	}

	/**
	 * Counts a request that was to be sent once more.
	 * @param service its service
	 * @param reason {@code failure}, {@code wait} or {@code low-confidence}
	 * @param outcome {@code spent} or {@code denied} by the retry budget
	 */
	public void retry(String service, String reason, String outcome) {
		this.retries.increment(service, reason, outcome);
	}

	/**
	 * Notes how long a replica took to a stream's first event.
	 * @param route the request's route
	 * @param model the model that answered
	 * @param millis milliseconds
	 */
	public void firstEvent(String route, String model, long millis) {
		this.firstEvents.record(millis, route, model);
	}

	/**
	 * Notes how far a first event was from the time at which it was expected.
	 * @param service the replica's service
	 * @param model the model that answered
	 * @param millis milliseconds, sooner or later
	 */
	public void delayError(String service, String model, long millis) {
		this.delayErrors.record(Math.abs(millis), service, model);
	}

	/**
	 * Counts a request by its outcome.
	 * @param template its template
	 * @param team its team
	 * @param outcome {@code served} or a refusal's reason
	 */
	public void outcome(TemplateName template, TeamId team, String outcome) {
		this.outcomes.increment(template, team, outcome);
	}

	/**
	 * Counts an answer by the version that gave it.
	 * @param template its template
	 * @param version the version
	 */
	public void served(TemplateName template, String version) {
		this.served.increment(template, version);
	}

	/**
	 * Counts something that has no labels.
	 * @param name its name, one of a few
	 */
	public void count(String name) {
		Counter known = this.counters.get(name);
		if (known == null) {
			String counted = (this.counters.size() < MAX_COUNTERS) ? name : "counters.overflow";
			known = this.counters.computeIfAbsent(counted, (missing) -> this.metrics.counter(PREFIX + missing));
		}
		known.inc();
	}

	/**
	 * Shows a value that is read when asked for.
	 * @param name its name
	 * @param value the value
	 */
	public void gauge(String name, Gauge<Number> value) {
		this.metrics.gauge(PREFIX + name, () -> value);
	}

	/**
	 * Drops the series of a label's values that are no longer in use. Their counts are
	 * added to the series that stands for all others.
	 * @param label the label
	 * @param inUse the values to keep
	 */
	public void retain(String label, Set<String> inUse) {
		this.families.forEach((family) -> family.retain(label, inUse));
	}

	/**
	 * Returns all metrics in the Prometheus text format. Nothing is reset by it.
	 * @return the page, in parts of bounded size that are built one by one
	 */
	public Iterator<String> scrape() {
		StringWriter text = new StringWriter();
		try {
			TextFormat.write004(text, this.collectors.metricFamilySamples());
		}
		catch (IOException ex) {
			throw new UncheckedIOException("a string was not written", ex);
		}
		return new MetricsPage(text.toString(), this.families);
	}

}
