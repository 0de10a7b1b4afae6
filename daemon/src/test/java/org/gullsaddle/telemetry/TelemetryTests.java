package org.gullsaddle.telemetry;

import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.TemplateName;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Metrics whose label values come from configurations and callers.
 */
class TelemetryTests {

	/** More than the heap of a test holds if each series takes tens of kilobytes. */
	private static final int NAMES = 20_000;

	private final Telemetry telemetry = new Telemetry();

	private List<String> lines(String prefix) {
		return text().lines().filter((line) -> line.startsWith(prefix)).toList();
	}

	private String text() {
		StringBuilder text = new StringBuilder();
		this.telemetry.scrape().forEachRemaining(text::append);
		return text.toString();
	}

	private double sum(String prefix) {
		return lines(prefix).stream()
			.mapToDouble((line) -> Double.parseDouble(line.substring(line.lastIndexOf(' '))))
			.sum();
	}

	/**
	 * A metric with labels.
	 */
	enum Labelled {

		REQUEST("gullsaddle_request_seconds_count{") {
			@Override
			void record(Telemetry telemetry, int name) {
				telemetry.request("route-" + name, "team-" + name % 10, "served", 20);
			}
		},

		ATTEMPT("gullsaddle_attempts{") {
			@Override
			void record(Telemetry telemetry, int name) {
				telemetry.attempt("service-" + name, "answered");
			}
		},

		FIRST_EVENT("gullsaddle_first_event_seconds_count{") {
			@Override
			void record(Telemetry telemetry, int name) {
				telemetry.firstEvent("route", "model-" + name, 20);
			}
		},

		DELAY_ERROR("gullsaddle_delay_error_seconds_count{") {
			@Override
			void record(Telemetry telemetry, int name) {
				telemetry.delayError("service-" + name, "model", -20);
			}
		},

		WHOLE("gullsaddle_whole_seconds_count{") {
			@Override
			void record(Telemetry telemetry, int name) {
				telemetry.whole(template(name), team(name), 20);
			}
		},

		FIRST("gullsaddle_first_token_seconds_count{") {
			@Override
			void record(Telemetry telemetry, int name) {
				telemetry.first(template(name), team(name), 20);
			}
		},

		BETWEEN("gullsaddle_between_tokens_seconds_count{") {
			@Override
			void record(Telemetry telemetry, int name) {
				telemetry.between(template(name), team(name), 20);
			}
		},

		OUTCOME("gullsaddle_requests{") {
			@Override
			void record(Telemetry telemetry, int name) {
				telemetry.outcome(template(0), team(0), "outcome-" + name);
			}
		},

		SERVED("gullsaddle_served{") {
			@Override
			void record(Telemetry telemetry, int name) {
				telemetry.served(template(0), "version-" + name);
			}
		};

		private final String prefix;

		Labelled(String prefix) {
			this.prefix = prefix;
		}

		abstract void record(Telemetry telemetry, int name);

		static TemplateName template(int name) {
			return new TemplateName("template-" + name);
		}

		static TeamId team(int name) {
			return new TeamId("team-" + name % 10);
		}

	}

	@Nested
	class WithMoreNamesThanSeries {

		/** Guards against a heap that fills up with the series of ever new names. */
		@ParameterizedTest
		@EnumSource
		void seriesAreLimitedAndNothingIsLost(Labelled metric) {
			for (int i = 0; i < NAMES; i++) {
				metric.record(TelemetryTests.this.telemetry, i);
			}
			assertThat(lines(metric.prefix)).hasSize(MetricFamily.MAX_SERIES + 1);
			assertThat(sum(metric.prefix)).isEqualTo(NAMES);
			assertThat(sum("gullsaddle_metric_series_overflow ")).isEqualTo(NAMES - MetricFamily.MAX_SERIES);
		}

		/** Guards against a heap that fills up with counters of ever new names. */
		@Test
		void countersAreLimitedAndNothingIsLost() {
			for (int i = 0; i < NAMES; i++) {
				TelemetryTests.this.telemetry.count("of." + i);
			}
			assertThat(lines("gullsaddle_of_").size()).isLessThan(NAMES / 10);
			assertThat(sum("gullsaddle_of_") + sum("gullsaddle_counters_overflow ")).isEqualTo(NAMES);
		}

		/**
		 * Guards against an event loop that stands still while all series are written.
		 */
		@Test
		void pageIsBuiltInPartsOfFewSeries() {
			for (int i = 0; i < NAMES; i++) {
				Labelled.REQUEST.record(TelemetryTests.this.telemetry, i);
			}
			for (Iterator<String> parts = TelemetryTests.this.telemetry.scrape(); parts.hasNext();) {
				assertThat(parts.next().lines().filter((line) -> line.startsWith(Labelled.REQUEST.prefix)))
					.hasSizeLessThanOrEqualTo(MetricsPage.SERIES_PER_PART);
			}
		}

	}

	@Nested
	class WithNamesThatLeave {

		/** Guards against series of routes that were replaced and are kept for good. */
		@Test
		void theirSeriesAreDroppedAndTheirCountsKept() {
			TelemetryTests.this.telemetry.request("old", "bakers", "served", 20);
			TelemetryTests.this.telemetry.request("new", "bakers", "served", 20);
			TelemetryTests.this.telemetry.retain("route", Set.of("new"));
			assertThat(lines(Labelled.REQUEST.prefix)).containsExactlyInAnyOrder(
					"gullsaddle_request_seconds_count{route=\"new\",team=\"bakers\",outcome=\"served\",} 1.0",
					"gullsaddle_request_seconds_count{route=\"other\",team=\"other\",outcome=\"other\",} 1.0");
		}

		@Test
		void metricsWithoutTheLabelAreKept() {
			TelemetryTests.this.telemetry.attempt("desk", "answered");
			TelemetryTests.this.telemetry.retain("route", Set.of());
			assertThat(lines(Labelled.ATTEMPT.prefix)).hasSize(1);
		}

		/**
		 * Guards against series that stay under the limit but are dropped for their
		 * length.
		 */
		@Test
		void longNamesInUseAreKept() {
			String name = "r".repeat(2 * MetricFamily.MAX_LABEL_LENGTH);
			TelemetryTests.this.telemetry.request(name, "bakers", "served", 20);
			TelemetryTests.this.telemetry.retain("route", Set.of(name));
			assertThat(lines(Labelled.REQUEST.prefix)).singleElement()
				.asString()
				.contains("\"" + name.substring(0, MetricFamily.MAX_LABEL_LENGTH) + "\"");
		}

	}

	@Nested
	class Scrape {

		/** Guards against counts that only the first of two scrapers sees. */
		@Test
		void nothingIsResetByIt() {
			TelemetryTests.this.telemetry.request("read", "bakers", "served", 20);
			assertThat(text()).isEqualTo(text());
		}

		@Test
		void bucketsAreCumulative() {
			Stream.of(4, 20, 70_000)
				.forEach((millis) -> TelemetryTests.this.telemetry.request("read", "bakers", "served", millis));
			String series = "{route=\"read\",team=\"bakers\",outcome=\"served\",";
			assertThat(text()).contains("# TYPE gullsaddle_request_seconds histogram\n",
					"gullsaddle_request_seconds_bucket" + series + "le=\"0.005\",} 1.0\n",
					"gullsaddle_request_seconds_bucket" + series + "le=\"0.025\",} 2.0\n",
					"gullsaddle_request_seconds_bucket" + series + "le=\"60.0\",} 2.0\n",
					"gullsaddle_request_seconds_bucket" + series + "le=\"+Inf\",} 3.0\n",
					"gullsaddle_request_seconds_sum" + series + "} 70.024\n",
					"gullsaddle_request_seconds_count" + series + "} 3.0\n");
		}

		/** Guards against a name that breaks the page. */
		@Test
		void namesAreEscaped() {
			TelemetryTests.this.telemetry.attempt("a\"b\\c\nd", "answered");
			assertThat(text()).contains("gullsaddle_attempts{service=\"a\\\"b\\\\c\\nd\",end=\"answered\",} 1.0\n");
		}

	}

}
