package org.gullsaddle.telemetry;

import java.io.IOException;
import java.io.StringWriter;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.dropwizard.samplebuilder.CustomMappingSampleBuilder;
import io.prometheus.client.dropwizard.samplebuilder.MapperConfig;
import io.prometheus.client.exporter.common.TextFormat;
import org.mpierce.metrics.reservoir.hdrhistogram.HdrHistogramResetOnSnapshotReservoir;

import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.TemplateName;

/**
 * A node's metrics. Thread-safe.
 */
public final class Telemetry {

	private final MetricRegistry metrics = new MetricRegistry();

	private final CollectorRegistry collectors = new CollectorRegistry();

	/**
	 * Makes an empty set of metrics.
	 */
	public Telemetry() {
		List<MapperConfig> labels = List.of(
				family("gullsaddle.whole.*.*", "gullsaddle_whole_seconds", "template", "team"),
				family("gullsaddle.first.*.*", "gullsaddle_first_token_seconds", "template", "team"),
				family("gullsaddle.between.*.*", "gullsaddle_between_tokens_seconds", "template", "team"),
				family("gullsaddle.outcome.*.*.*", "gullsaddle_requests", "template", "team", "outcome"),
				family("gullsaddle.request.*.*.*", "gullsaddle_request_seconds", "route", "team", "outcome"),
				family("gullsaddle.attempt.*.*", "gullsaddle_attempts", "service", "end"),
				family("gullsaddle.event.*.*", "gullsaddle_first_event_seconds", "route", "model"),
				family("gullsaddle.delay.*.*", "gullsaddle_delay_error_seconds", "service", "model"),
				family("gullsaddle.served.*.*", "gullsaddle_served", "template", "version"));
		new DropwizardExports(this.metrics, new CustomMappingSampleBuilder(labels)).register(this.collectors);
	}

	/**
	 * Notes how long a request took to its end.
	 * @param template its template
	 * @param team its team
	 * @param millis milliseconds
	 */
	public void whole(TemplateName template, TeamId team, long millis) {
		timer("gullsaddle.whole." + part(template) + "." + part(team)).update(millis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Notes how long a request took to the first part of its answer.
	 * @param template its template
	 * @param team its team
	 * @param millis milliseconds
	 */
	public void first(TemplateName template, TeamId team, long millis) {
		timer("gullsaddle.first." + part(template) + "." + part(team)).update(millis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Notes the time between two parts of an answer.
	 * @param template its template
	 * @param team its team
	 * @param millis milliseconds
	 */
	public void between(TemplateName template, TeamId team, long millis) {
		timer("gullsaddle.between." + part(template) + "." + part(team)).update(millis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Notes the end of a request that went straight to replicas.
	 * @param route its route
	 * @param team its team
	 * @param outcome {@code served}, {@code refused}, {@code failed} or {@code left}
	 * @param millis how long it took, in milliseconds
	 */
	public void request(String route, String team, String outcome, long millis) {
		timer("gullsaddle.request." + part(route) + "." + part(team) + "." + part(outcome)).update(millis,
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Counts an attempt at a replica by its end.
	 * @param service the replica's service
	 * @param end {@code answered}, {@code failed}, {@code not-run}, {@code broken},
	 * {@code withdrawn} or {@code dropped}
	 */
	public void attempt(String service, String end) {
		this.metrics.counter("gullsaddle.attempt." + part(service) + "." + part(end)).inc();
	}

	/**
	 * Notes how long a replica took to a stream's first event.
	 * @param route the request's route
	 * @param model the model that answered
	 * @param millis milliseconds
	 */
	public void firstEvent(String route, String model, long millis) {
		timer("gullsaddle.event." + part(route) + "." + part(model)).update(millis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Notes how far a first event was from the time at which it was expected.
	 * @param service the replica's service
	 * @param model the model that answered
	 * @param millis milliseconds, sooner or later
	 */
	public void delayError(String service, String model, long millis) {
		timer("gullsaddle.delay." + part(service) + "." + part(model)).update(Math.abs(millis), TimeUnit.MILLISECONDS);
	}

	/**
	 * Counts a request by its outcome.
	 * @param template its template
	 * @param team its team
	 * @param outcome {@code served} or a refusal's reason
	 */
	public void outcome(TemplateName template, TeamId team, String outcome) {
		this.metrics.counter("gullsaddle.outcome." + part(template) + "." + part(team) + "." + part(outcome)).inc();
	}

	/**
	 * Counts an answer by the version that gave it.
	 * @param template its template
	 * @param version the version
	 */
	public void served(TemplateName template, String version) {
		this.metrics.counter("gullsaddle.served." + part(template) + "." + part(version)).inc();
	}

	/**
	 * Counts something that has no labels.
	 * @param name its name
	 */
	public void count(String name) {
		this.metrics.counter("gullsaddle." + name).inc();
	}

	/**
	 * Shows a value that is read when asked for.
	 * @param name its name
	 * @param value the value
	 */
	public void gauge(String name, Gauge<Number> value) {
		this.metrics.gauge("gullsaddle." + name, () -> value);
	}

	/**
	 * Returns all metrics in the Prometheus text format.
	 * @return the text
	 * @throws IOException if it cannot be written
	 */
	public String scrape() throws IOException {
		StringWriter text = new StringWriter();
		TextFormat.write004(text, this.collectors.metricFamilySamples());
		return text.toString();
	}

	private Timer timer(String name) {
		return this.metrics.timer(name, () -> new Timer(new HdrHistogramResetOnSnapshotReservoir()));
	}

	/**
	 * Maps the parts of a metric's name to labels, in their order.
	 */
	private static MapperConfig family(String pattern, String name, String... labels) {
		Map<String, String> values = new LinkedHashMap<>();
		for (int i = 0; i < labels.length; i++) {
			values.put(labels[i], "${" + i + "}");
		}
		return new MapperConfig(pattern, name, values);
	}

	private static String part(Object name) {
		return name.toString().replace('.', '_');
	}

}
