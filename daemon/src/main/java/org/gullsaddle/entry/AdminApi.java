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
 * HTTP API for operators: changes templates, and reads status, traces, bills and the
 * ledger. Nothing here controls a single request.
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

	private static final int UNPROCESSABLE = 422;

	private static final int UNAVAILABLE = 503;

	private final EntryNode node;

	private final List<AccessKey<Settings.Operator>> operators;

	AdminApi(EntryNode node, Settings.Entry settings) {
		this.node = node;
		this.operators = settings.operators();
	}

	void addRoutes(Router router) {
		StatusRoutes.add(router, this.node.telemetry(), this.node::isReady);
		router.route("/admin/v1/*").handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
		router.route("/admin/v1/*").handler(this::authenticate);
		router.get("/admin/v1/templates").handler(this::listTemplates);
		router.get("/admin/v1/templates/:name").handler(this::getTemplate);
		router.put("/admin/v1/templates/:name").handler(this::putTemplate);
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
			sendError(context, UNAUTHENTICATED, "the operator's key is not known");
			return;
		}
		context.put(OPERATOR, operator.get());
		context.next();
	}

	private void listTemplates(RoutingContext context) {
		JsonArray templates = new JsonArray();
		this.node.templates().allTemplates().values().forEach((revision) -> {
			if (canReadAny(context, revision)) {
				templates.add(summary(revision));
			}
		});
		context.json(new JsonObject().put("templates", templates));
	}

	private void getTemplate(RoutingContext context) {
		TemplateRevision current = findReadableTemplate(context).orElse(null);
		if (current == null) {
			return;
		}
		context.json(summary(current).put("yaml", readableYaml(context, current)));
	}

	private void putTemplate(RoutingContext context) {
		if (!checkCanChange(context)) {
			return;
		}
		String yaml = context.body().asString();
		try {
			Template template = Template.parse((yaml != null) ? yaml : "");
			if (!template.name().value().equals(context.pathParam("name"))) {
				sendError(context, BAD_REQUEST, "the text is of template " + template.name());
				return;
			}
			changeTemplate(context, template, yaml, expectedRevision(context));
		}
		catch (YamlException ex) {
			JsonArray problems = new JsonArray();
			for (Problem problem : ex.problems()) {
				problems.add(new JsonObject().put("line", problem.line())
					.put("path", problem.path())
					.put("reason", problem.reason()));
			}
			context.response().setStatusCode(UNPROCESSABLE);
			context.json(new JsonObject().put("error", "the template is not valid").put("problems", problems));
		}
		catch (IllegalArgumentException ex) {
			sendError(context, BAD_REQUEST, ex.getMessage());
		}
	}

	private void changeVersion(RoutingContext context) {
		if (!checkCanChange(context)) {
			return;
		}
		TemplateRevision current = findReadableTemplate(context).orElse(null);
		if (current == null) {
			return;
		}
		try {
			JsonObject body = context.body().asJsonObject();
			ModelVersion version = ModelVersion.of(context.pathParam("version"));
			Template template = current.template();
			if (body.containsKey("state")) {
				template = template.withState(version, parseState(body.getString("state")));
			}
			if (body.containsKey("share")) {
				template = template.withShare(version, body.getDouble("share"));
			}
			long expected = context.queryParam("expect").isEmpty() ? current.revision() : expectedRevision(context);
			changeTemplate(context, template, template.toYaml(), expected);
		}
		catch (IllegalArgumentException | ClassCastException ex) {
			sendError(context, BAD_REQUEST, ex.getMessage());
		}
	}

	private void changeTemplate(RoutingContext context, Template template, String yaml, long expected) {
		Settings.Operator operator = context.get(OPERATOR);
		this.node.templates()
			.change(template, yaml, expected, operator.name())
			.subscribe((revision) -> context.json(summary(revision)), (failure) -> sendChangeError(context, failure));
	}

	private void sendChangeError(RoutingContext context, Throwable failure) {
		switch (failure) {
			case ConflictException conflict -> {
				JsonObject body = new JsonObject().put("error", conflict.getMessage());
				conflict.current().ifPresent((present) -> body.put("present", summary(present)));
				context.response().setStatusCode(CONFLICT);
				context.json(body);
			}
			case StoreException storeFailure -> {
				context.response().setStatusCode(UNAVAILABLE);
				context.json(new JsonObject().put("error", storeFailure.getMessage())
					.put("outcome", storeFailure.unknown() ? "unknown" : "not-taken"));
			}
			default -> sendError(context, UNAVAILABLE, failure.getMessage());
		}
	}

	private void history(RoutingContext context) {
		TemplateRevision current = findReadableTemplate(context).orElse(null);
		if (current == null) {
			return;
		}
		this.node.templates().history(current.template().name(), HISTORY_LIMIT).subscribe((revisions) -> {
			JsonArray list = new JsonArray();
			revisions.forEach((revision) -> list.add(summary(revision).put("yaml", readableYaml(context, revision))));
			context.json(new JsonObject().put("revisions", list));
		}, (failure) -> sendError(context, UNAVAILABLE, failure.getMessage()));
	}

	private void inForce(RoutingContext context) {
		TemplateRevision current = findReadableTemplate(context).orElse(null);
		if (current == null) {
			return;
		}
		long revision = Long.parseLong(context.request().getParam("revision", String.valueOf(current.revision())));
		EntryNode.InForceCount count = this.node.countInForce(current.template().name(), revision);
		context.json(new JsonObject().put("revision", revision)
			.put("nodes", count.currentNodes())
			.put("of", count.expectedNodes())
			.put("missing", new JsonArray(count.missing().stream().map(Object::toString).sorted().toList())));
	}

	private void status(RoutingContext context) {
		JsonArray nodes = new JsonArray();
		this.node.members()
			.links()
			.values()
			.forEach((link) -> nodes
				.add(new JsonObject().put("node", link.peer().value()).put("role", link.peerRole().toString())));
		context
			.json(new JsonObject().put("node", this.node.settings().node().value())
				.put("ready", this.node.isReady())
				.put("cutOff", this.node.isCutOff())
				.put("storeAgeMillis", this.node.templates().storeAgeMillis())
				.put("openRequests", this.node.openRequestCount())
				.put("halted", new JsonArray(
						this.node.activeHalts().stream().map((halt) -> new JsonObject(Json.write(halt))).toList()))
				.put("links", nodes));
	}

	private void trace(RoutingContext context) {
		RequestId request = new RequestId(context.pathParam("request"));
		Settings.Operator operator = context.get(OPERATOR);
		this.node.ledgerReader()
			.rows(fromMillis(context), toMillis(context), "")
			.map(LedgerReader.Row::entry)
			.filter((entry) -> entry.request().equals(request))
			.filter((entry) -> operator.mayRead(teamOf(entry)))
			.toList()
			.subscribe((entries) -> {
				// A request that the operator may not read is reported as missing, so
				// that its existence does not leak.
				if (entries.isEmpty()) {
					sendError(context, NOT_FOUND, "there is no request " + request);
					return;
				}
				JsonArray found = new JsonArray();
				entries.forEach((entry) -> found.add(new JsonObject(entry.text())));
				context.json(new JsonObject().put("entries", found));
			}, (failure) -> sendError(context, UNAVAILABLE, failure.getMessage()));
	}

	private void ledger(RoutingContext context) {
		Settings.Operator operator = context.get(OPERATOR);
		String team = context.request().getParam("team", "");
		sendLines(context, this.node.ledgerReader()
			.rows(fromMillis(context), toMillis(context), context.request().getParam("after", ""))
			.filter((row) -> operator.mayRead(teamOf(row.entry())))
			.filter((row) -> team.isEmpty() || teamOf(row.entry()).value().equals(team))
			.map((row) -> new JsonObject(row.text()).put("writer", row.writer()).put("cursor", row.cursor()).encode()));
	}

	private void segments(RoutingContext context) {
		if (checkCanReadAll(context)) {
			sendLines(context,
					this.node.ledgerReader().segments(fromMillis(context), toMillis(context)).map(Json::write));
		}
	}

	private void heads(RoutingContext context) {
		if (checkCanReadAll(context)) {
			sendLines(context, this.node.ledgerReader().heads().map(Json::write));
		}
	}

	/**
	 * Streams JSON lines. On a failure the response is reset, so that the client does not
	 * take a partial one for complete.
	 */
	private static void sendLines(RoutingContext context, Flowable<String> lines) {
		context.response().putHeader("Content-Type", "application/x-ndjson").setChunked(true);
		lines.subscribe((line) -> context.response().write(line + "\n"), (failure) -> context.response().reset(),
				() -> context.response().end());
	}

	private void bills(RoutingContext context) {
		Settings.Operator operator = context.get(OPERATOR);
		this.node.ledgerReader()
			.rows(fromMillis(context), toMillis(context), "")
			.map(LedgerReader.Row::entry)
			.filter((entry) -> operator.mayRead(teamOf(entry)))
			.collect(ArrayList<LedgerEntry>::new, ArrayList::add)
			.subscribe((entries) -> {
				Bills bills = Bills.of(entries);
				JsonObject teams = new JsonObject();
				bills.byTeam().forEach((team, micros) -> teams.put(team.value(), micros));
				JsonArray requests = new JsonArray();
				bills.byRequest().values().forEach((bill) -> requests.add(new JsonObject(Json.write(bill))));
				context.json(new JsonObject().put("teams", teams).put("requests", requests));
			}, (failure) -> sendError(context, UNAVAILABLE, failure.getMessage()));
	}

	private Optional<TemplateRevision> findReadableTemplate(RoutingContext context) {
		Optional<TemplateRevision> current = Optional.empty();
		try {
			current = this.node.findTemplate(new TemplateName(context.pathParam("name")))
				.filter((revision) -> canReadAny(context, revision));
		}
		catch (IllegalArgumentException ex) {
			// The name is not valid, so no template has it.
		}
		if (current.isEmpty()) {
			sendError(context, NOT_FOUND, "there is no template " + context.pathParam("name"));
		}
		return current;
	}

	private static boolean canReadAny(RoutingContext context, TemplateRevision revision) {
		Settings.Operator operator = context.get(OPERATOR);
		return revision.template().teams().keySet().stream().anyMatch(operator::mayRead);
	}

	/**
	 * Returns the template as YAML without the parameters of teams that the operator may
	 * not read.
	 */
	private static String readableYaml(RoutingContext context, TemplateRevision revision) {
		Settings.Operator operator = context.get(OPERATOR);
		return operator.mayChange() ? revision.yaml() : revision.template().onlyTeams(operator::mayRead).toYaml();
	}

	private boolean checkCanChange(RoutingContext context) {
		Settings.Operator operator = context.get(OPERATOR);
		if (!operator.mayChange()) {
			sendError(context, FORBIDDEN, "operator " + operator.name() + " may only read");
		}
		return operator.mayChange();
	}

	private static boolean checkCanReadAll(RoutingContext context) {
		Settings.Operator operator = context.get(OPERATOR);
		if (!operator.teams().isEmpty()) {
			sendError(context, FORBIDDEN, "operator " + operator.name()
					+ " may read the records of its teams only, and whole segments hold those of others");
		}
		return operator.teams().isEmpty();
	}

	private static long expectedRevision(RoutingContext context) {
		String text = context.request().getParam("expect", "");
		if (!text.matches("\\d{1,18}")) {
			throw new IllegalArgumentException(
					"the parameter expect must give the revision that the change was made from, 0 for a new template");
		}
		return Long.parseLong(text);
	}

	private static VersionState parseState(String text) {
		for (VersionState state : VersionState.values()) {
			if (state.toString().equals(text)) {
				return state;
			}
		}
		throw new IllegalArgumentException("state must be one of " + List.of(VersionState.values()));
	}

	private long fromMillis(RoutingContext context) {
		return Long.parseLong(context.request()
			.getParam("from", String.valueOf(this.node.clock().wallMillis() - TimeUnit.DAYS.toMillis(1))));
	}

	private long toMillis(RoutingContext context) {
		return Long.parseLong(context.request().getParam("to", String.valueOf(this.node.clock().wallMillis())));
	}

	private static TeamId teamOf(LedgerEntry entry) {
		return switch (entry) {
			case LedgerEntry.RequestEntry request -> request.record().team();
			case LedgerEntry.AttemptEntry attempt -> attempt.agentRecord().team();
		};
	}

	private static JsonObject summary(TemplateRevision revision) {
		return new JsonObject().put("template", revision.template().name().value())
			.put("revision", revision.revision())
			.put("author", revision.author())
			.put("time", revision.time())
			.put("changeId", revision.changeId());
	}

	private static void sendError(RoutingContext context, int status, String message) {
		context.response().setStatusCode(status);
		context.json(new JsonObject().put("error", message));
	}

}
