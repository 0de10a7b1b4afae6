package org.gullsaddle.cli;

import java.time.Instant;
import java.util.List;
import java.util.concurrent.Callable;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

import org.gullsaddle.template.Template;
import org.gullsaddle.yaml.YamlException;

/**
 * The commands on templates.
 */
final class TemplateCommands {

	private TemplateCommands() {
	}

	private static Template parse(String file) throws CommandException {
		try {
			return Template.parse(AdminCommand.read(file));
		}
		catch (YamlException ex) {
			throw new CommandException(ExitCode.INVALID, file + " is not a valid template:\n" + ex.getMessage());
		}
	}

	private static String line(JsonObject revision) {
		return revision.getString("template") + " revision " + revision.getLong("revision") + " by "
				+ revision.getString("author") + " at " + Instant.ofEpochMilli(revision.getLong("time"));
	}

	private static String versionPath(List<String> names) throws CommandException {
		if (names.size() != 2) {
			throw new CommandException(ExitCode.WRONG_USE, "give the template's name and the version");
		}
		return "templates/" + names.get(0) + "/versions/" + names.get(1);
	}

	private static String lines(JsonArray revisions) {
		StringBuilder text = new StringBuilder();
		revisions.forEach((each) -> text.append(line((JsonObject) each)).append('\n'));
		return text.isEmpty() ? "none" : text.toString().stripTrailing();
	}

	/**
	 * Checks a file without calling an entry.
	 */
	@Command(name = "check", description = "Check a template's file, without an entry")
	public static final class CheckFile implements Callable<Integer> {

		@Arguments(title = "file", description = "The template, in YAML")
		@Required
		private String file;

		@Override
		public Integer call() throws CommandException {
			Template template = parse(this.file);
			System.out.println("template " + template.name() + " is valid: " + template.versions().size()
					+ " versions, " + template.teams().size() + " teams");
			return ExitCode.DONE.code();
		}

	}

	/**
	 * What all changes share: they tell on how many nodes they are in force.
	 */
	abstract static class Change extends AdminCommand {

		private static final long POLL_MILLIS = 100;

		@Option(name = "--wait", title = "seconds",
				description = "How long to wait until the change is in force on every node")
		private int waitSeconds = 4;

		ExitCode report(AdminClient client, JsonObject revision) throws CommandException {
			String path = "templates/" + revision.getString("template") + "/in-force?revision="
					+ revision.getLong("revision");
			long end = System.nanoTime() + this.waitSeconds * 1_000_000_000L;
			JsonObject force = client.get(path);
			while (force.getInteger("nodes") < force.getInteger("of") && System.nanoTime() < end) {
				try {
					Thread.sleep(POLL_MILLIS);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
					break;
				}
				force = client.get(path);
			}
			String missing = force.getJsonArray("missing").isEmpty() ? "" : ", not on " + force.getJsonArray("missing");
			print(revision.copy().put("inForce", force), "accepted: " + line(revision) + "\nin force on "
					+ force.getInteger("nodes") + " of " + force.getInteger("of") + " nodes" + missing);
			return ExitCode.DONE;
		}

	}

	/**
	 * Applies a file.
	 */
	@Command(name = "apply", description = "Make a template's file the one in force")
	public static final class Apply extends Change {

		@Arguments(title = "file", description = "The template, in YAML")
		@Required
		private String file;

		@Option(name = "--expect", title = "revision",
				description = "The revision that the file was made from; the present one if not given")
		private Long expect;

		@Override
		ExitCode run(AdminClient client) throws CommandException {
			Template template = parse(this.file);
			long expected = (this.expect != null) ? this.expect : present(client, template);
			JsonObject revision = client.put("templates/" + template.name() + "?expect=" + expected, read(this.file));
			return report(client, revision);
		}

		private static long present(AdminClient client, Template template) throws CommandException {
			try {
				return client.get("templates/" + template.name()).getLong("revision");
			}
			catch (CommandException ex) {
				if (ex.code() == ExitCode.NOT_FOUND) {
					return 0;
				}
				throw ex;
			}
		}

	}

	/**
	 * Shows a template.
	 */
	@Command(name = "get", description = "Show a template as it is in force")
	public static final class Get extends AdminCommand {

		@Arguments(title = "name", description = "The template's name")
		@Required
		private String name;

		@Override
		ExitCode run(AdminClient client) throws CommandException {
			JsonObject template = client.get("templates/" + this.name);
			print(template, "# " + line(template) + "\n" + template.getString("yaml").stripTrailing());
			return ExitCode.DONE;
		}

	}

	/**
	 * Lists the templates.
	 */
	@Command(name = "list", description = "List the templates in force")
	public static final class ListAll extends AdminCommand {

		@Override
		ExitCode run(AdminClient client) throws CommandException {
			JsonObject answer = client.get("templates");
			print(answer, lines(answer.getJsonArray("templates")));
			return ExitCode.DONE;
		}

	}

	/**
	 * Shows a template's revisions.
	 */
	@Command(name = "history", description = "List a template's revisions")
	public static final class History extends AdminCommand {

		@Arguments(title = "name", description = "The template's name")
		@Required
		private String name;

		@Override
		ExitCode run(AdminClient client) throws CommandException {
			JsonObject answer = client.get("templates/" + this.name + "/history");
			print(answer, lines(answer.getJsonArray("revisions")));
			return ExitCode.DONE;
		}

	}

	/**
	 * Withdraws a version.
	 */
	@Command(name = "withdraw", description = "Give a version no new work from now on")
	public static final class Withdraw extends Change {

		@Option(name = "--retire", description = "Let the sessions that have the version keep it")
		private boolean retire;

		@Arguments(title = { "template", "version" }, description = "The template's name and the version")
		@Required
		private List<String> names;

		@Override
		ExitCode run(AdminClient client) throws CommandException {
			return report(client, client.post(versionPath(this.names),
					new JsonObject().put("state", this.retire ? "retiring" : "withdrawn")));
		}

	}

	/**
	 * Sets a version's share.
	 */
	@Command(name = "rollout", description = "Give a version a share of its model's new work")
	public static final class Rollout extends Change {

		@Option(name = "--share", title = "share", description = "The share, 0 to 1")
		@Required
		private Double share;

		@Arguments(title = { "template", "version" }, description = "The template's name and the version")
		@Required
		private List<String> names;

		@Override
		ExitCode run(AdminClient client) throws CommandException {
			return report(client, client.post(versionPath(this.names),
					new JsonObject().put("state", "active").put("share", this.share)));
		}

	}

}
