package org.gullsaddle.cli;

import java.time.Instant;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

import org.gullsaddle.clock.HybridClock;

/**
 * Shows a request's record to people.
 */
final class TraceText {

	private TraceText() {
	}

	static String of(JsonObject entry) {
		StringBuilder text = new StringBuilder();
		if (entry.containsKey("line")) {
			text.append("attempt written by its agent, as entry ")
				.append(entry.getString("entry"))
				.append(" was lost\n");
			attempt(text, entry.getJsonObject("line"));
			return text.toString();
		}
		text.append("request  ").append(entry.getString("request")).append('\n');
		text.append("team     ").append(entry.getString("team")).append(", template ");
		text.append(entry.getString("template"));
		if (entry.containsKey("session")) {
			text.append(", session ").append(entry.getString("session"));
		}
		text.append("\nadmitted ").append(time(entry.getLong("admitted"))).append('\n');
		text.append("plan     ").append(entry.getString("plan")).append('\n');
		for (Object each : entry.getJsonArray("attempts", new JsonArray())) {
			attempt(text, (JsonObject) each);
		}
		text.append("outcome  ").append(entry.getString("outcome"));
		text.append(", verdict ").append(entry.getString("verdict"));
		text.append(", ").append(entry.getLong("costMicros")).append(" micro-dollars\n");
		text.append("finished ").append(time(entry.getLong("finished"))).append('\n');
		return text.toString();
	}

	private static void attempt(StringBuilder text, JsonObject line) {
		JsonObject usage = line.getJsonObject("usage");
		text.append("attempt  ").append(line.getString("attempt"));
		text.append("\n  version  ").append(line.getString("version"));
		text.append(" on ").append(line.getString("agent"));
		text.append(", template revision ").append(line.getLong("revision"));
		text.append("\n  from     ").append(time(line.getLong("start")));
		text.append("\n  to       ").append(time(line.getLong("end")));
		text.append("\n  ended    ").append(line.getString("outcome"));
		text.append(", verdict ").append(line.getString("verdict"));
		text.append(", ").append(usage.getLong("promptTokens")).append(" + ");
		text.append(usage.getLong("outputTokens")).append(" tokens, ");
		text.append(line.getLong("costMicros")).append(" micro-dollars\n");
	}

	private static String time(long stamp) {
		return Instant.ofEpochMilli(HybridClock.millis(stamp)) + " #" + HybridClock.counter(stamp);
	}

}
