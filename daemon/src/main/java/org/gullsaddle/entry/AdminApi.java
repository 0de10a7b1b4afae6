package org.gullsaddle.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Flowable;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;

import org.gullsaddle.base.Json;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.RequestId;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.TemplateName;
import org.gullsaddle.controller.ConflictException;
import org.gullsaddle.controller.LedgerReader;
import org.gullsaddle.ledger.Bills;
import org.gullsaddle.ledger.LedgerEntry;
import org.gullsaddle.settings.AccessKey;
import org.gullsaddle.settings.Settings;
import org.gullsaddle.store.StoreException;
import org.gullsaddle.telemetry.StatusRoutes;
import org.gullsaddle.template.Template;
import org.gullsaddle.template.TemplateRevision;
import org.gullsaddle.template.VersionState;
import org.gullsaddle.yaml.Problem;
import org.gullsaddle.yaml.YamlException;

/**
 * What operators reach. They change templates and read; nothing here steers a single
 * request.
 */
final class AdminApi {

	private static final String OPERATOR = "operator";

	private static final String BEARER = "Bearer ";

	private static final int MAX_BODY_BYTES = 1 << 20;

	private static final int HISTORY_LIMIT = 1000;

	private static final int BAD_REQUEST = 400;

	private static final int UNAUTHENTICATED = 401;

	private static final int FORBIDDEN = 403;

	private static final int NOT_FOUND = 404;

	private static final int CONFLICT = 409;

	private static final int INVALID = 422;

	private static final int UNAVAILABLE = 503;

	private final EntryNode node;

	private final List<AccessKey<Settings.Operator>> operators;

	AdminApi(EntryNode node, Settings.Entry settings) {
		this.node = node;
		this.operators = settings.operators();
	}

	void routes(Router router) {
		StatusRoutes.add(router, this.node.telemetry(), this.node::ready);
		router.route("/admin/v1/*").handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
		router.route("/admin/v1/*").handler(this::authenticate);
		router.get("/admin/v1/templates").handler(this::list);
		router.get("/admin/v1/templates/:name").handler(this::get);
		router.put("/admin/v1/templates/:name").handler(this::put);
		router.get("/admin/v1/templates/:name/history").handler(this::history);
		router.get("/admin/v1/templates/:name/in-force").handler(this::inForce);
		router.post("/admin/v1/templates/:name/versions/:version").handler(this::changeVersion);
		router.get("/admin/v1/status").handler(this::status);
		router.get("/admin/v1/traces/:request").handler(this::trace);
		router.get("/admin/v1/ledger").handler(this::ledger);
		router.get("/admin/v1/bills").handler(this::bills);
		router.get("/admin/v1/segments").handler(this::segments);
		router.get("/admin/v1/heads").handler(this::heads);
	}

	private void authenticate(RoutingContext context) {
		String header = context.request().getHeader("Authorization");
		Optional<Settings.Operator> operator = (header != null && header.startsWith(BEARER))
				? AccessKey.owner(this.operators, header.substring(BEARER.length()).strip()) : Optional.empty();
		if (operator.isEmpty()) {
			fail(context, UNAUTHENTICATED, "the operator's key is not known");
			return;
		}
		context.put(OPERATOR, operator.get());
		context.next();
	}

	private void list(RoutingContext context) {
		JsonArray templates = new JsonArray();
		this.node.templates().allTemplates().values().forEach((revision) -> {
			if (mayReadAny(context, revision)) {
				templates.add(summary(revision));
			}
		});
		context.json(new JsonObject().put("templates", templates));
	}

	private void get(RoutingContext context) {
		TemplateRevision held = held(context).orElse(null);
		if (held == null) {
			return;
		}
		context.json(summary(held).put("yaml", visible(context, held)));
	}

	private void put(RoutingContext context) {
		if (!mayChange(context)) {
			return;
		}
		String yaml = context.body().asString();
		try {
			Template template = Template.parse((yaml != null) ? yaml : "");
			if (!template.name().value().equals(context.pathParam("name"))) {
				fail(context, BAD_REQUEST, "the text is of template " + template.name());
				return;
			}
			change(context, template, yaml, expected(context));
		}
		catch (YamlException ex) {
			JsonArray problems = new JsonArray();
			for (Problem problem : ex.problems()) {
				problems.add(new JsonObject().put("line", problem.line())
					.put("path", problem.path())
					.put("reason", problem.reason()));
			}
			context.response().setStatusCode(INVALID);
			context.json(new JsonObject().put("error", "the template is not valid").put("problems", problems));
		}
		catch (IllegalArgumentException ex) {
			fail(context, BAD_REQUEST, ex.getMessage());
		}
	}

	private void changeVersion(RoutingContext context) {
		if (!mayChange(context)) {
			return;
		}
		TemplateRevision held = held(context).orElse(null);
		if (held == null) {
			return;
		}
		try {
			JsonObject body = context.body().asJsonObject();
			ModelVersion version = ModelVersion.of(context.pathParam("version"));
			Template template = held.template();
			if (body.containsKey("state")) {
				template = template.withState(version, state(body.getString("state")));
			}
			if (body.containsKey("share")) {
				template = template.withShare(version, body.getDouble("share"));
			}
			long expected = context.queryParam("expect").isEmpty() ? held.revision() : expected(context);
			change(context, template, template.toYaml(), expected);
		}
		catch (IllegalArgumentException | ClassCastException ex) {
			fail(context, BAD_REQUEST, ex.getMessage());
		}
	}

	private void change(RoutingContext context, Template template, String yaml, long expected) {
		Settings.Operator operator = context.get(OPERATOR);
		this.node.templates()
			.change(template, yaml, expected, operator.name())
			.subscribe((revision) -> context.json(summary(revision)), (failure) -> refuseChange(context, failure));
	}

	private void refuseChange(RoutingContext context, Throwable failure) {
		switch (failure) {
			case ConflictException conflict -> {
				JsonObject body = new JsonObject().put("error", conflict.getMessage());
				conflict.current().ifPresent((present) -> body.put("present", summary(present)));
				context.response().setStatusCode(CONFLICT);
				context.json(body);
			}
			case StoreException lost -> {
				context.response().setStatusCode(UNAVAILABLE);
				context.json(new JsonObject().put("error", lost.getMessage())
					.put("outcome", lost.unknown() ? "unknown" : "not-taken"));
			}
			default -> fail(context, UNAVAILABLE, failure.getMessage());
		}
	}

	private void history(RoutingContext context) {
		TemplateRevision held = held(context).orElse(null);
		if (held == null) {
			return;
		}
		this.node.templates().history(held.template().name(), HISTORY_LIMIT).subscribe((revisions) -> {
			JsonArray list = new JsonArray();
			revisions.forEach((revision) -> list.add(summary(revision).put("yaml", visible(context, revision))));
			context.json(new JsonObject().put("revisions", list));
		}, (failure) -> fail(context, UNAVAILABLE, failure.getMessage()));
	}

	private void inForce(RoutingContext context) {
		TemplateRevision held = held(context).orElse(null);
		if (held == null) {
			return;
		}
		long revision = Long.parseLong(context.request().getParam("revision", String.valueOf(held.revision())));
		EntryNode.InForceCount count = this.node.inForce(held.template().name(), revision);
		context.json(new JsonObject().put("revision", revision)
			.put("nodes", count.nodes())
			.put("of", count.of())
			.put("missing", new JsonArray(count.missing().stream().map(Object::toString).sorted().toList())));
	}

	private void status(RoutingContext context) {
		JsonArray nodes = new JsonArray();
		this.node.members()
			.links()
			.values()
			.forEach((link) -> nodes
				.add(new JsonObject().put("node", link.peer().value()).put("role", link.peerRole().toString())));
		context.json(new JsonObject().put("node", this.node.settings().node().value())
			.put("ready", this.node.ready())
			.put("cutOff", this.node.cutOff())
			.put("storeAgeMillis", this.node.templates().storeAgeMillis())
			.put("openRequests", this.node.openRequests())
			.put("halted",
					new JsonArray(this.node.halts().stream().map((halt) -> new JsonObject(Json.write(halt))).toList()))
			.put("links", nodes));
	}

	private void trace(RoutingContext context) {
		RequestId request = new RequestId(context.pathParam("request"));
		Settings.Operator operator = context.get(OPERATOR);
		this.node.reader()
			.rows(from(context), to(context), "")
			.map(LedgerReader.Row::entry)
			.filter((entry) -> entry.request().equals(request))
			.filter((entry) -> operator.mayRead(team(entry)))
			.toList()
			.subscribe((entries) -> {
				// One that may not be read looks like one that does not exist.
				if (entries.isEmpty()) {
					fail(context, NOT_FOUND, "there is no request " + request);
					return;
				}
				JsonArray found = new JsonArray();
				entries.forEach((entry) -> found.add(new JsonObject(entry.text())));
				context.json(new JsonObject().put("entries", found));
			}, (failure) -> fail(context, UNAVAILABLE, failure.getMessage()));
	}

	private void ledger(RoutingContext context) {
		Settings.Operator operator = context.get(OPERATOR);
		String team = context.request().getParam("team", "");
		lines(context, this.node.reader()
			.rows(from(context), to(context), context.request().getParam("after", ""))
			.filter((row) -> operator.mayRead(team(row.entry())))
			.filter((row) -> team.isEmpty() || team(row.entry()).value().equals(team))
			.map((row) -> new JsonObject(row.text()).put("writer", row.writer()).put("cursor", row.cursor()).encode()));
	}

	private void segments(RoutingContext context) {
		if (mayReadAll(context)) {
			lines(context, this.node.reader().segments(from(context), to(context)).map(Json::write));
		}
	}

	private void heads(RoutingContext context) {
		if (mayReadAll(context)) {
			lines(context, this.node.reader().heads().map(Json::write));
		}
	}

	/**
	 * Answers with JSON lines. An answer that breaks off is reset, so that it does not
	 * pass for a whole one.
	 */
	private static void lines(RoutingContext context, Flowable<String> lines) {
		context.response().putHeader("Content-Type", "application/x-ndjson").setChunked(true);
		lines.subscribe((line) -> context.response().write(line + "\n"), (failure) -> context.response().reset(),
				() -> context.response().end());
	}

	private void bills(RoutingContext context) {
		Settings.Operator operator = context.get(OPERATOR);
		this.node.reader()
			.rows(from(context), to(context), "")
			.map(LedgerReader.Row::entry)
			.filter((entry) -> operator.mayRead(team(entry)))
			.collect(ArrayList<LedgerEntry>::new, ArrayList::add)
			.subscribe((entries) -> {
				Bills bills = Bills.of(entries);
				JsonObject teams = new JsonObject();
				bills.byTeam().forEach((team, micros) -> teams.put(team.value(), micros));
				JsonArray requests = new JsonArray();
				bills.byRequest().values().forEach((bill) -> requests.add(new JsonObject(Json.write(bill))));
				context.json(new JsonObject().put("teams", teams).put("requests", requests));
			}, (failure) -> fail(context, UNAVAILABLE, failure.getMessage()));
	}

	private Optional<TemplateRevision> held(RoutingContext context) {
		Optional<TemplateRevision> held = Optional.empty();
		try {
			held = this.node.template(new TemplateName(context.pathParam("name")))
				.filter((revision) -> mayReadAny(context, revision));
		}
		catch (IllegalArgumentException ex) {
			// no template has such a name
		}
		if (held.isEmpty()) {
			fail(context, NOT_FOUND, "there is no template " + context.pathParam("name"));
		}
		return held;
	}

	private static boolean mayReadAny(RoutingContext context, TemplateRevision revision) {
		Settings.Operator operator = context.get(OPERATOR);
		return revision.template().teams().keySet().stream().anyMatch(operator::mayRead);
	}

	/**
	 * Returns a template's text as far as the operator may read it: rivals' parameters
	 * are left out.
	 */
	private static String visible(RoutingContext context, TemplateRevision revision) {
		Settings.Operator operator = context.get(OPERATOR);
		return operator.mayChange() ? revision.yaml() : revision.template().onlyTeams(operator::mayRead).toYaml();
	}

	private boolean mayChange(RoutingContext context) {
		Settings.Operator operator = context.get(OPERATOR);
		if (!operator.mayChange()) {
			fail(context, FORBIDDEN, "operator " + operator.name() + " may only read");
		}
		return operator.mayChange();
	}

	private static boolean mayReadAll(RoutingContext context) {
		Settings.Operator operator = context.get(OPERATOR);
		if (!operator.teams().isEmpty()) {
			fail(context, FORBIDDEN, "operator " + operator.name()
					+ " may read the records of its teams only, and whole segments hold those of others");
		}
		return operator.teams().isEmpty();
	}

	private static long expected(RoutingContext context) {
		String text = context.request().getParam("expect", "");
		if (!text.matches("\\d{1,18}")) {
			throw new IllegalArgumentException(
					"the parameter expect must give the revision that the change was made from, 0 for a new template");
		}
		return Long.parseLong(text);
	}

	private static VersionState state(String text) {
		for (VersionState state : VersionState.values()) {
			if (state.toString().equals(text)) {
				return state;
			}
		}
		throw new IllegalArgumentException("state must be one of " + List.of(VersionState.values()));
	}

	private long from(RoutingContext context) {
		return Long.parseLong(context.request()
			.getParam("from", String.valueOf(this.node.clock().wallMillis() - TimeUnit.DAYS.toMillis(1))));
	}

	private long to(RoutingContext context) {
		return Long.parseLong(context.request().getParam("to", String.valueOf(this.node.clock().wallMillis())));
	}

	private static TeamId team(LedgerEntry entry) {
		return switch (entry) {
			case LedgerEntry.RequestEntry whole -> whole.record().team();
			case LedgerEntry.AttemptEntry part -> part.agentRecord().team();
		};
	}

	private static JsonObject summary(TemplateRevision revision) {
		return new JsonObject().put("template", revision.template().name().value())
			.put("revision", revision.revision())
			.put("author", revision.author())
			.put("time", revision.time())
			.put("changeId", revision.changeId());
	}

	private static void fail(RoutingContext context, int status, String message) {
		context.response().setStatusCode(status);
		context.json(new JsonObject().put("error", message));
	}

}
