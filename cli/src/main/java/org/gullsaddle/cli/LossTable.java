package org.gullsaddle.cli;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

import io.vertx.core.json.JsonObject;

import org.gullsaddle.serve.Confidence;

/**
 * Counts what requests lost, from the lines that nodes log at the end of each attempt and
 * each request.
 */
final class LossTable {

	/** How many seconds are shown: those that lost most. */
	private static final int WORST_SECONDS = 5;

	/** How many requests whose end has not been read yet are remembered. */
	private static final int MAX_OPEN = 100_000;

	private static final double PERCENT = 100;

	private static final long MILLIS = 1000;

	private final Map<String, Attempts> open = new HashMap<>();

	private final Map<String, Route> routes = new TreeMap<>();

	private final Map<Long, Integer> lostInSecond = new HashMap<>();

	private int requests;

	/**
	 * Takes in a line of a log; other lines than those of attempts and requests say
	 * nothing of losses.
	 */
	void add(JsonObject line) {
		switch (line.getString("message", "")) {
			case "attempt" -> attempt(line);
			case "request" -> request(line);
			default -> {
			}
		}
	}

	int requests() {
		return this.requests;
	}

	private void attempt(JsonObject line) {
		String id = line.getString("id", "");
		if (this.open.size() < MAX_OPEN || this.open.containsKey(id)) {
			this.open.computeIfAbsent(id, (missing) -> new Attempts()).add(line);
		}
	}

	private void request(JsonObject line) {
		this.requests++;
		String name = line.getString("route", "");
		Route route = this.routes.computeIfAbsent(name.isEmpty() ? "(none)" : name, (missing) -> new Route());
		Attempts attempts = this.open.remove(line.getString("id", ""));
		if (route.add(line, (attempts != null) ? attempts : new Attempts())) {
			millis(line).ifPresent(
					(at) -> this.lostInSecond.merge((at - line.getLong("millis", 0L)) / MILLIS, 1, Integer::sum));
		}
	}

	private static OptionalLong millis(JsonObject line) {
		try {
			return OptionalLong.of(Instant.parse(line.getString("@timestamp", "")).toEpochMilli());
		}
		catch (DateTimeParseException ex) {
			return OptionalLong.empty();
		}
	}

	/**
	 * Returns the table, a line each.
	 */
	List<String> lines() {
		List<String> lines = new ArrayList<>();
		this.routes.forEach((name, route) -> lines.addAll(route.lines(name)));
		this.lostInSecond.entrySet()
			.stream()
			.sorted(Map.Entry.<Long, Integer>comparingByValue(Comparator.reverseOrder())
				.thenComparing(Map.Entry.comparingByKey()))
			.limit(WORST_SECONDS)
			.forEach((each) -> lines
				.add("second " + Instant.ofEpochSecond(each.getKey()) + " lost or late " + each.getValue()));
		lines.add("not seen here: callers that no node answered, pauses after the first event, prices");
		return lines;
	}

	/**
	 * The attempts of one request.
	 */
	private static final class Attempts {

		private String model = "";

		private int confidence = -1;

		private long firstAt = -1;

		void add(JsonObject line) {
			this.model = line.getString("model", "");
			this.confidence = line.getInteger("confidence", -1);
			long first = line.getLong("firstEventMillis", -1L);
			if (first >= 0 && this.firstAt < 0) {
				millis(line).ifPresent((at) -> this.firstAt = at - line.getLong("millis", 0L) + first);
			}
		}

		double chanceTooHard() {
			return (this.confidence < 0) ? 0 : 1 - Confidence.probabilityGood(this.confidence);
		}

	}

	/**
	 * The requests of one route.
	 */
	private static final class Route {

		private final Map<String, Integer> ends = new TreeMap<>();

		private final Map<String, Integer> models = new TreeMap<>();

		private int count;

		private int late;

		private double tooHard;

		/**
		 * Counts a request.
		 * @return whether it was lost or late
		 */
		boolean add(JsonObject line, Attempts attempts) {
			this.count++;
			String outcome = line.getString("outcome", "");
			if (!outcome.equals("served")) {
				this.ends.merge(outcome + " (" + line.getString("reason", "") + ")", 1, Integer::sum);
				return true;
			}
			if (!attempts.model.isEmpty()) {
				this.models.merge(attempts.model, 1, Integer::sum);
				this.tooHard += attempts.chanceTooHard();
			}
			boolean isLate = late(line, attempts);
			this.late += isLate ? 1 : 0;
			return isLate;
		}

		private static boolean late(JsonObject line, Attempts attempts) {
			long objective = line.getLong("objectiveMillis", 0L);
			long took = line.getLong("millis", 0L);
			if (objective <= 0) {
				return false;
			}
			if (attempts.firstAt < 0) {
				return attempts.model.isEmpty() && took > objective;
			}
			return millis(line).isPresent() && attempts.firstAt - (millis(line).getAsLong() - took) > objective;
		}

		List<String> lines(String name) {
			List<String> lines = new ArrayList<>();
			lines.add("route " + name + " requests " + this.count + " late " + this.late + " likely too hard "
					+ share(this.tooHard) + " answered by " + this.models);
			this.ends.forEach((end, times) -> lines.add("route " + name + " " + end + " " + times));
			return lines;
		}

		private String share(double part) {
			return String.format(Locale.ROOT, "%.1f %%", PERCENT * part / this.count);
		}

	}

}
