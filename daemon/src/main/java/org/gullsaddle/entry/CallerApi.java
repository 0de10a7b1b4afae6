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
 * HTTP API for callers: chat completions, calls to services and the list of models.
 */
final class CallerApi {

	private static final Logger LOG = LoggerFactory.getLogger(CallerApi.class);

	private static final int MAX_BODY_BYTES = 1 << 20;

	private static final int TOO_LARGE = 413;

	private final EntryNode node;

	private final List<RequestFilter> chatFilters;

	private final List<RequestFilter> serviceFilters;

	private final List<RequestFilter> modelFilters;

	CallerApi(EntryNode node, Settings.Entry settings) {
		this.node = node;
		RequestFilter running = new RequestFilters.StopCheck(node);
		RequestFilter team = new RequestFilters.Authentication(settings.teams());
		RequestFilter ledger = new RequestFilters.LedgerCheck(node);
		RequestFilter allowance = new RequestFilters.AllowanceCheck(node, node.allowances());
		this.chatFilters = List.of(running, team, new RequestFilters.ChatBody(),
				new RequestFilters.TemplateCheck(node, TemplateKind.CHAT),
				new RequestFilters.SessionPin(node.sessions()), ledger, allowance);
		this.serviceFilters = List.of(running, team, new RequestFilters.ServiceBody(),
				new RequestFilters.TemplateCheck(node, TemplateKind.SERVICE), ledger, allowance);
		this.modelFilters = List.of(team);
	}

	void addRoutes(Router router) {
		router.route("/v1/*").handler(this.node.unansweredCalls());
		router.route("/v1/*").handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
		router.route("/v1/*").failureHandler(this::onFailure);
		router.get("/v1/models").handler(this::listModels);
		router.post("/v1/chat/completions").handler((context) -> serve(context, this.chatFilters));
		router.route("/v1/services/:template/*").handler((context) -> serve(context, this.serviceFilters));
	}

	private void serve(RoutingContext context, List<RequestFilter> filters) {
		Exchange exchange = this.node.newExchange(context);
		try {
			for (RequestFilter filter : filters) {
				filter.apply(exchange);
			}
		}
		catch (RefusedException ex) {
			this.node.recordFilterRefusal(exchange, ex.refusal());
			RefusalWriter.write(exchange, ex.refusal(), ex.getMessage());
			return;
		}
		Context vertxContext = this.node.vertx().getOrCreateContext();
		CallerResponse response = (exchange.chat() != null)
				? new ChatResponse(exchange, this.node.sessions(), vertxContext, this.node.clock().wallMillis())
				: new ServiceResponse(exchange, vertxContext);
		IncomingRequest request = toIncomingRequest(exchange);
		RouterShard shard = this.node.shardOf(exchange.id());
		context.response().closeHandler((closed) -> shard.handle(new RouterEvent.CallerDisconnected(exchange.id())));
		this.node.onAccepted(exchange);
		shard.submit(request, new MeasuredResponse(response, exchange, this.node));
	}

	private static IncomingRequest toIncomingRequest(Exchange exchange) {
		IncomingRequest.Builder builder = IncomingRequest.builder(exchange.id(), exchange.team(), exchange.template())
			.session(exchange.session())
			.pinnedVersion(exchange.pinnedVersion())
			.deadline(exchange.deadline())
			.prefixHash(exchange.prefixHash())
			.fingerprint(fingerprint(exchange))
			.body(exchange.body());
		return (exchange.isRepeatable() || exchange.idempotencyKey().isEmpty()) ? builder.build()
				: builder.atMostOnce(exchange.idempotencyKey()).build();
	}

	private static Fingerprint fingerprint(Exchange exchange) {
		return new Fingerprint(
				Hashing.murmur3_128().hashCharsTo128Bits(exchange.team() + " " + exchange.content()).toString());
	}

	private void listModels(RoutingContext context) {
		Exchange exchange = this.node.newExchange(context);
		try {
			for (RequestFilter filter : this.modelFilters) {
				filter.apply(exchange);
			}
		}
		catch (RefusedException ex) {
			RefusalWriter.write(exchange, ex.refusal(), ex.getMessage());
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

	private void onFailure(RoutingContext context) {
		Exchange exchange = this.node.newExchange(context);
		if (context.statusCode() == TOO_LARGE) {
			RefusalWriter.write(exchange, Refusal.notRun(RefusalReason.TOO_LARGE, 0),
					"the body must have at most " + MAX_BODY_BYTES + " bytes");
			return;
		}
		LOG.atError()
			.addKeyValue("request", exchange.id())
			.setCause(context.failure())
			.log("request failed unexpectedly");
		RefusalWriter.write(exchange, new Refusal(RefusalReason.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, 0), "");
	}

}
