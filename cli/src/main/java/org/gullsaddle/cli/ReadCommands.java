package org.gullsaddle.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * The commands that only read.
 */
final class ReadCommands {

	private static final double MICROS = 1_000_000;

	private ReadCommands() {
	}

	private static String span(String from, String to) throws CommandException {
		return "from=" + Times.millis(from) + "&to=" + Times.millis(to);
	}

	/**
	 * Shows an entry's state.
	 */
	@Command(name = "status", description = "Show an entry's state and its links")
	public static final class Status extends AdminCommand {

		@Override
		ExitCode run(AdminClient client) throws CommandException {
			JsonObject status = client.get("status");
			StringBuilder text = new StringBuilder();
			text.append("entry ").append(status.getString("node"));
			text.append(status.getBoolean("ready") ? ", ready" : ", not ready");
			text.append(status.getBoolean("cutOff") ? ", cut off from the configuration" : "");
			text.append(", ").append(status.getInteger("openRequests")).append(" requests open");
			for (Object each : status.getJsonArray("halted")) {
				JsonObject halt = (JsonObject) each;
				text.append("\n  no new work for ").append(halt.getString("version"));
				text.append(" of ").append(halt.getString("template"));
				text.append(" since revision ").append(halt.getLong("revision"));
				text.append(", for its ").append(halt.getString("reason"));
			}
			for (Object each : status.getJsonArray("links")) {
				JsonObject link = (JsonObject) each;
				text.append("\n  ").append(link.getString("role")).append(' ').append(link.getString("node"));
			}
			print(status, text.toString());
			return ExitCode.DONE;
		}

	}

	/**
	 * Shows a request's record.
	 */
	@Command(name = "trace", description = "Show what happened to a request")
	public static final class Trace extends AdminCommand {

		@Arguments(title = "request", description = "The request's id")
		@Required
		private String request;

		@Override
		ExitCode run(AdminClient client) throws CommandException {
			JsonObject trace = client.get("traces/" + this.request);
			StringBuilder text = new StringBuilder();
			for (Object each : trace.getJsonArray("entries")) {
				text.append(TraceText.of((JsonObject) each));
			}
			print(trace, text.toString().stripTrailing());
			return ExitCode.DONE;
		}

	}

	/**
	 * Shows what each team pays.
	 */
	@Command(name = "bill", description = "Show what each team pays")
	public static final class Bill extends AdminCommand {

		@Option(name = "--from", title = "time", description = "The start, such as 2026-01-31T06:00:00Z or 24h")
		private String from = "24h";

		@Option(name = "--to", title = "time", description = "The end")
		private String to = "now";

		@Override
		ExitCode run(AdminClient client) throws CommandException {
			JsonObject bills = client.get("bills?" + span(this.from, this.to));
			StringBuilder text = new StringBuilder();
			bills.getJsonObject("teams")
				.forEach((team) -> text.append(String.format("%-24s %12.6f dollars%n", team.getKey(),
						((Number) team.getValue()).longValue() / MICROS)));
			JsonArray requests = bills.getJsonArray("requests");
			print(bills, text + "for " + requests.size() + " requests");
			return ExitCode.DONE;
		}

	}

}
