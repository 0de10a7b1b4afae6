package org.gullsaddle.standin;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * Counts what is not as callers were told.
 */
final class DemoChecks {

	private static final Set<String> SERVED = Set.of("served");

	private final Map<String, Set<String>> allowed;

	private int served;

	private int refused;

	private int billed;

	private int wrong;

	DemoChecks(Map<String, Set<String>> allowed) {
		this.allowed = allowed;
	}

	static String line(JsonObject told) {
		return String.format("%-11s %-5s %-28s %-14s %-12s %6s  %s", told.getString("team"), told.getString("kind"),
				told.getString("outcome"), text(told, "version"), text(told, "verdict"),
				told.containsKey("cost") ? told.getLong("cost") : "-", told.getString("request"));
	}

	/**
	 * Every served request has one bill, of the cost told; every other has none to pay.
	 */
	void bills(List<JsonObject> told, JsonArray bills) {
		Map<String, List<JsonObject>> byRequest = Demo.byRequest(bills);
		for (JsonObject each : told) {
			List<JsonObject> found = byRequest.getOrDefault(each.getString("request"), List.of());
			if (isServed(each)) {
				this.served++;
				expect(found.size() == 1, each, "has " + found.size() + " bills");
				if (found.size() == 1) {
					this.billed++;
					expect(found.get(0).getLong("costMicros").equals(each.getLong("cost")), each,
							"is billed " + found.get(0).getLong("costMicros"));
				}
			}
			else {
				this.refused++;
				long cost = found.stream().mapToLong((bill) -> bill.getLong("costMicros")).sum();
				expect(cost == 0, each, "was refused and is billed " + cost);
			}
		}
	}

	/**
	 * Every answer is whole, written by the version told, and that one is allowed.
	 */
	void answers(List<JsonObject> told) {
		for (JsonObject each : told) {
			if (isServed(each)) {
				expect(each.getBoolean("whole"), each, "is not whole");
				expect(this.allowed.get(each.getString("team")).contains(each.getString("version")), each,
						"was served by " + each.getString("version"));
			}
			if (isServed(each) && each.getString("kind").equals("chat")) {
				expect(each.getString("text").startsWith(each.getString("version") + " "), each,
						"was written by another version");
				expect(each.getString("text").split(" ").length == each.getLong("tokens") + 2, each,
						"does not have the tokens told");
			}
		}
	}

	/**
	 * A session has one version, until that is withdrawn.
	 */
	void sessions(List<JsonObject> told) {
		Map<String, Set<String>> versions = new HashMap<>();
		for (JsonObject each : told) {
			if (isServed(each) && each.getString("session") != null) {
				versions.computeIfAbsent(each.getString("session"), (id) -> new HashSet<>())
					.add(each.getString("version"));
			}
		}
		versions.forEach((session, seen) -> expect(seen.size() == 1 || session.startsWith("shop-") && seen.size() == 2,
				new JsonObject().put("session", session), "had " + seen));
	}

	/**
	 * Every item that a caller was told is booked was booked once.
	 */
	void orders(List<JsonObject> told, JsonObject booked) {
		for (JsonObject each : told) {
			if (each.getString("kind").equals("order")) {
				int count = booked.getInteger(each.getString("content"), 0);
				expect(count == (isServed(each) ? 1 : 0) || each.getString("verdict").equals("may-have-run"), each,
						"was booked " + count + " times");
			}
		}
	}

	void withdrawn(long before, long after) {
		expect(before > 0, new JsonObject().put("version", "large@v1"), "never served anything");
		expect(after == before, new JsonObject().put("version", "large@v1"),
				"served " + (after - before) + " after it was withdrawn");
	}

	int wrong() {
		return this.wrong;
	}

	void print() {
		System.out.println("demo: " + this.served + " served, " + this.refused + " refused, " + this.billed
				+ " billed, " + this.wrong + " wrong");
	}

	private void expect(boolean condition, JsonObject what, String problem) {
		if (!condition) {
			this.wrong++;
			System.out.println("WRONG: " + what.encode() + " " + problem);
		}
	}

	private static boolean isServed(JsonObject told) {
		return SERVED.contains(told.getString("outcome"));
	}

	private static String text(JsonObject told, String key) {
		String value = told.getString(key);
		return (value != null) ? value : "-";
	}

}
