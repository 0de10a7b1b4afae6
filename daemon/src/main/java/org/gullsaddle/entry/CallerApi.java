package org.gullsaddle.entry;

import java.util.List;

import com.dynatrace.hash4j.hashing.Hashing;
import io.vertx.core.Context;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.gullsaddle.base.Fingerprint;
import org.gullsaddle.base.Refusal;
import org.gullsaddle.base.RefusalReason;
import org.gullsaddle.base.Verdict;
import org.gullsaddle.route.IncomingRequest;
import org.gullsaddle.route.RouterEvent;
import org.gullsaddle.settings.Settings;
import org.gullsaddle.template.TemplateKind;

/**
 * What callers reach: chat completions and calls to plain services.
 */
final class CallerApi {

	private static final Logger LOG = LoggerFactory.getLogger(CallerApi.class);

	private static final int MAX_BODY_BYTES = 1 << 20;

	private static final int TOO_LARGE = 413;

	private final EntryNode node;

	private final List<Filter> chat;

	private final List<Filter> service;

	private final List<Filter> listing;

	CallerApi(EntryNode node, Settings.Entry settings) {
		this.node = node;
		Filter running = new Filters.Running(node);
		Filter team = new Filters.Team(settings.teams());
		Filter ledger = new Filters.Ledger(node);
		Filter allowance = new Filters.Allowance(node, node.allowances());
		this.chat = List.of(running, team, new Filters.Chat(), new Filters.Rules(node, TemplateKind.CHAT),
				new Filters.Session(node.sessions()), ledger, allowance);
		this.service = List.of(running, team, new Filters.Service(), new Filters.Rules(node, TemplateKind.SERVICE),
				ledger, allowance);
		this.listing = List.of(team);
	}

	void routes(Router router) {
		router.route("/v1/*").handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
		router.route("/v1/*").failureHandler(this::failed);
		router.get("/v1/models").handler(this::models);
		router.post("/v1/chat/completions").handler((context) -> serve(context, this.chat));
		router.route("/v1/services/:template/*").handler((context) -> serve(context, this.service));
	}

	private void serve(RoutingContext context, List<Filter> filters) {
		Exchange exchange = this.node.exchange(context);
		try {
			for (Filter filter : filters) {
				filter.apply(exchange);
			}
		}
		catch (RefusedException ex) {
			this.node.refusedAtOnce(exchange, ex.refusal());
			Refusals.write(exchange, ex.refusal(), ex.getMessage());
			return;
		}
		Context vertxContext = this.node.vertx().getOrCreateContext();
		CallerAnswer answer = (exchange.chat() != null)
				? new ChatAnswer(exchange, this.node.sessions(), vertxContext, this.node.clock().wallMillis())
				: new ServiceAnswer(exchange, vertxContext);
		IncomingRequest request = request(exchange);
		RouterShard shard = this.node.shard(exchange.id());
		context.response().closeHandler((closed) -> shard.handle(new RouterEvent.CallerDisconnected(exchange.id())));
		this.node.accepted(exchange);
		shard.submit(request, new MeasuredAnswer(answer, exchange, this.node));
	}

	private static IncomingRequest request(Exchange exchange) {
		IncomingRequest.Builder builder = IncomingRequest.builder(exchange.id(), exchange.team(), exchange.template())
			.session(exchange.session())
			.pinnedVersion(exchange.pinned())
			.deadline(exchange.deadline())
			.prefixHash(exchange.prefixHash())
			.fingerprint(fingerprint(exchange))
			.body(exchange.body());
		return (exchange.repeatable() || exchange.idempotencyKey().isEmpty()) ? builder.build()
				: builder.atMostOnce(exchange.idempotencyKey()).build();
	}

	private static Fingerprint fingerprint(Exchange exchange) {
		return new Fingerprint(
				Hashing.murmur3_128().hashCharsTo128Bits(exchange.team() + " " + exchange.content()).toString());
	}

	private void models(RoutingContext context) {
		Exchange exchange = this.node.exchange(context);
		try {
			for (Filter filter : this.listing) {
				filter.apply(exchange);
			}
		}
		catch (RefusedException ex) {
			Refusals.write(exchange, ex.refusal(), ex.getMessage());
			return;
		}
		JsonArray data = new JsonArray();
		this.node.templates().allTemplates().forEach((name, revision) -> {
			if (revision.template().findTeam(exchange.team()).isPresent()) {
				data.add(new JsonObject().put("id", name.value()).put("object", "model").put("owned_by", "gullsaddle"));
			}
		});
		context.json(new JsonObject().put("object", "list").put("data", data));
	}

	private void failed(RoutingContext context) {
		Exchange exchange = this.node.exchange(context);
		if (context.statusCode() == TOO_LARGE) {
			Refusals.write(exchange, Refusal.notRun(RefusalReason.TOO_LARGE, 0),
					"the body must have at most " + MAX_BODY_BYTES + " bytes");
			return;
		}
		LOG.atError()
			.addKeyValue("request", exchange.id())
			.setCause(context.failure())
			.log("request failed unexpectedly");
		Refusals.write(exchange, new Refusal(RefusalReason.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, 0), "");
	}

}
