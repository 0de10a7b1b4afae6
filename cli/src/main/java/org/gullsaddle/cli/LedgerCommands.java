package org.gullsaddle.cli;

import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

import org.gullsaddle.base.Json;
import org.gullsaddle.clock.HybridClock;
import org.gullsaddle.ledger.LedgerFlaw;
import org.gullsaddle.ledger.LedgerHead;
import org.gullsaddle.ledger.LedgerVerifier;
import org.gullsaddle.ledger.RequestRecord;
import org.gullsaddle.ledger.Segment;
import org.gullsaddle.ledger.ServingOrder;

/**
 * The commands on the ledger.
 */
final class LedgerCommands {

	private LedgerCommands() {
	}

	private static <T> List<T> values(String lines, Class<T> type) throws CommandException {
		List<T> read = new ArrayList<>();
		try {
			for (String line : lines.split("\n")) {
				if (!line.isEmpty()) {
					read.add(Json.read(line, type));
				}
			}
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.FAILED, "the entry's answer cannot be read: " + ex.getMessage());
		}
		return read;
	}

	private static List<JsonObject> objects(String lines) {
		List<JsonObject> objects = new ArrayList<>();
		lines.lines().filter((line) -> !line.isEmpty()).forEach((line) -> objects.add(new JsonObject(line)));
		return objects;
	}

	/**
	 * What all commands on the ledger share: a span of time.
	 */
	abstract static class Spanned extends AdminCommand {

		@Option(name = "--from", title = "time", description = "The start, such as 2026-01-31T06:00:00Z or 24h")
		private String from = "24h";

		@Option(name = "--to", title = "time", description = "The end")
		private String to = "now";

		String span() throws CommandException {
			return "from=" + Times.millis(this.from) + "&to=" + Times.millis(this.to);
		}

	}

	/**
	 * Exports the ledger.
	 */
	@Command(name = "export", description = "Write the ledger's entries as JSON lines or CSV")
	public static final class Export extends Spanned {

		private static final String COLUMNS = "request,team,template,outcome,verdict,costMicros,admitted,finished,writer";

		@Option(name = "--team", title = "team", description = "Only this team's")
		private String team = "";

		@Option(name = "--after", title = "cursor",
				description = "Go on after the entry whose cursor this is, as an earlier export printed it")
		private String after = "";

		@Option(name = "--format", title = "format", description = "jsonl or csv; csv has whole records only")
		@AllowedRawValues(allowedValues = { "jsonl", "csv" })
		private String format = "jsonl";

		@Override
		ExitCode run(AdminClient client) throws CommandException {
			String lines = client.text("ledger?" + span() + "&team=" + this.team + "&after=" + this.after);
			if (this.format.equals("jsonl")) {
				System.out.print(lines);
				return ExitCode.DONE;
			}
			System.out.println(COLUMNS);
			for (JsonObject entry : objects(lines)) {
				if (entry.containsKey("request")) {
					System.out.println(row(entry));
				}
			}
			return ExitCode.DONE;
		}

		private static String row(JsonObject entry) {
			List<String> cells = new ArrayList<>();
			for (String column : COLUMNS.split(",")) {
				Object value = entry.getValue(column);
				boolean stamp = column.equals("admitted") || column.equals("finished");
				cells.add(stamp ? Instant.ofEpochMilli(HybridClock.millis((Long) value)).toString()
						: String.valueOf(value).replace(",", ";"));
			}
			return String.join(",", cells);
		}

	}

	/**
	 * Verifies the ledger.
	 */
	@Command(name = "verify", description = "Find what was changed, dropped, moved or cut off in the ledger")
	public static final class Verify extends Spanned {

		@Override
		ExitCode run(AdminClient client) throws CommandException {
			// The heads first: a segment written in between is then new, and not missing.
			List<LedgerHead> heads = values(client.text("heads"), LedgerHead.class);
			List<Segment> segments = values(client.text("segments?" + span()), Segment.class);
			List<LedgerFlaw> flaws = LedgerVerifier.verify(segments, heads);
			long rows = segments.stream().mapToLong((segment) -> segment.rows().size()).sum();
			long writers = segments.stream().map(Segment::writer).distinct().count();
			String text = rows + " records of " + writers + " writers in " + segments.size() + " segments, "
					+ flaws.size() + " flaws";
			JsonArray list = new JsonArray();
			for (LedgerFlaw flaw : flaws) {
				text += "\n  " + flaw;
				list.add(new JsonObject(Json.write(flaw)));
			}
			print(new JsonObject().put("records", rows).put("flaws", list), text);
			return flaws.isEmpty() ? ExitCode.DONE : ExitCode.FAILED;
		}

	}

	/**
	 * Tells who was served first.
	 */
	@Command(name = "order", description = "Tell in which order requests were served, and where that cannot be told")
	public static final class Order extends Spanned {

		@Option(name = "--team", title = "team", description = "Only these teams'; give it once for each")
		private List<String> teams = new ArrayList<>();

		@Option(name = "--uncertainty", title = "milliseconds",
				description = "How far the clocks of two VMs may differ")
		private long uncertainty = 10;

		@Override
		ExitCode run(AdminClient client) throws CommandException {
			List<ServingOrder.WriterRecord> written = new ArrayList<>();
			for (JsonObject entry : objects(client.text("ledger?" + span()))) {
				if (entry.containsKey("request")
						&& (this.teams.isEmpty() || this.teams.contains(entry.getString("team")))) {
					RequestRecord record = values(entry.encode(), RequestRecord.class).get(0);
					written.add(new ServingOrder.WriterRecord(entry.getString("writer"), record));
				}
			}
			StringBuilder text = new StringBuilder();
			JsonArray list = new JsonArray();
			for (ServingOrder.Place place : ServingOrder.of(written, this.uncertainty)) {
				list.add(new JsonObject(Json.write(place)));
				text.append(String.format("%5d  %s #%-5d %-14s %-14s %s%s%n", place.number(),
						Instant.ofEpochMilli(HybridClock.millis(place.start())), HybridClock.counter(place.start()),
						place.team(), place.version(), place.request(),
						place.certain() ? "" : "  (whether after the one before cannot be told)"));
			}
			print(new JsonObject().put("places", list), text.isEmpty() ? "none" : text.toString().stripTrailing());
			return ExitCode.DONE;
		}

	}

}
