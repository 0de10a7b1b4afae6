package org.gullsaddle.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.gullsaddle.base.Json;

/**
 * Gathers what the experiments find, and prints it as a table and as JSON lines.
 */
final class Report {

	private final List<Row> rows = new ArrayList<>();

	private int met;

	private int shortOf;

	/**
	 * Adds a figure beside which others are read.
	 */
	void figure(String experiment, String policy, String metric, double value, String unit) {
		print(new Row(experiment, policy, metric, value, unit, null, null, null));
	}

	/**
	 * Adds a figure that is to be at most a limit.
	 */
	void atMost(String experiment, String metric, double value, String unit, double limit) {
		judge(new Row(experiment, "gullsaddle", metric, value, unit, null, null, "<= " + limit), value <= limit);
	}

	/**
	 * Adds a figure that is to be at least a limit.
	 */
	void atLeast(String experiment, String metric, double value, String unit, double limit) {
		judge(new Row(experiment, "gullsaddle", metric, value, unit, null, null, ">= " + limit), value >= limit);
	}

	/**
	 * Adds a figure whose ratio to a baseline's is to be at most a limit.
	 */
	void ratioAtMost(String experiment, String metric, double value, String unit, String baseline, double baselineValue,
			double limit) {
		double ratio = value / baselineValue;
		judge(new Row(experiment, "gullsaddle", metric, value, unit, baseline, ratio, "ratio <= " + limit),
				ratio <= limit);
	}

	void end() {
		rowsAsJson();
		System.out.println(
				"measure: " + (this.met + this.shortOf) + " metrics, " + this.met + " met, " + this.shortOf + " short");
	}

	private void judge(Row row, boolean good) {
		if (good) {
			this.met++;
		}
		else {
			this.shortOf++;
		}
		print(row);
		System.out.println(good ? "" : "    SHORT");
	}

	private void print(Row row) {
		this.rows.add(row);
		String ratio = (row.ratio() != null) ? String.format(Locale.ROOT, "%.3f of %s", row.ratio(), row.baseline())
				: "";
		String line = String.format(Locale.ROOT, "%-11s %-22s %-38s %12.3f %-10s %-28s %s", row.experiment(),
				row.policy(), row.metric(), row.value(), row.unit(), ratio, (row.target() != null) ? row.target() : "");
		if (row.target() != null) {
			System.out.print(line.stripTrailing());
		}
		else {
			System.out.println(line.stripTrailing());
		}
	}

	private void rowsAsJson() {
		System.out.println();
		this.rows.forEach((row) -> System.out.println(Json.write(row)));
	}

	/**
	 * One figure.
	 */
	record Row(String experiment, String policy, String metric, double value, String unit, String baseline,
			Double ratio, String target) {
	}

}
