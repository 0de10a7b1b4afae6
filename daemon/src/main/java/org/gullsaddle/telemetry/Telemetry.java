package org.gullsaddle.telemetry;

import java.io.IOException;
import java.io.StringWriter;
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
				new MapperConfig("gullsaddle.whole.*.*", "gullsaddle_whole_seconds", teamLabels()),
				new MapperConfig("gullsaddle.first.*.*", "gullsaddle_first_token_seconds", teamLabels()),
				new MapperConfig("gullsaddle.between.*.*", "gullsaddle_between_tokens_seconds", teamLabels()),
				new MapperConfig("gullsaddle.outcome.*.*.*", "gullsaddle_requests",
						Map.of("template", "${0}", "team", "${1}", "outcome", "${2}")),
				new MapperConfig("gullsaddle.request.*.*.*", "gullsaddle_request_seconds",
						Map.of("route", "${0}", "team", "${1}", "outcome", "${2}")),
				new MapperConfig("gullsaddle.served.*.*", "gullsaddle_served",
						Map.of("template", "${0}", "version", "${1}")));
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

	private static Map<String, String> teamLabels() {
		return Map.of("template", "${0}", "team", "${1}");
	}

	private static String part(Object name) {
		return name.toString().replace('.', '_');
	}

}
