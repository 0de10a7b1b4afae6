package org.gullsaddle.standin;

import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;

/**
 * The platform's store, VM list, rating service and weight store behind one port.
 */
public final class Platform {

	private static final long LEASE_CHECK_MILLIS = 100;

	private static final long LEASE_KEEP_MILLIS = 5000;

	private static final int MAX_BODY_BYTES = 8 << 20;

	private final Vertx vertx;

	private final KeyValues values = new KeyValues();

	private final Map<String, JsonObject> vms = new TreeMap<>();

	private final Fault storeFault = new Fault();

	private final Fault ratingFault = new Fault();

	private final RateLimit writes;

	private final RateLimit reads;

	private Platform(Vertx vertx, int writesPerSecond, int readsPerSecond) {
		this.vertx = vertx;
		this.writes = new RateLimit(writesPerSecond);
		this.reads = new RateLimit(readsPerSecond);
	}

	/**
	 * Starts the platform's services on the loopback address.
	 * @param vertx where to run
	 * @param port the port, 0 for any
	 * @param writesPerSecond writes that the store takes
	 * @param readsPerSecond reads that the store takes
	 * @return the server once it listens
	 */
	public static Future<HttpServer> start(Vertx vertx, int port, int writesPerSecond, int readsPerSecond) {
		return new Platform(vertx, writesPerSecond, readsPerSecond).listen(port);
	}

	private Future<HttpServer> listen(int port) {
		this.vertx.setPeriodic(LEASE_CHECK_MILLIS, (timer) -> this.values.expireLeases(System.currentTimeMillis()));
		Router router = Router.router(this.vertx);
		router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
		router.post("/v3/kv/range").handler((context) -> answer(context, this.reads, this.values::range));
		router.post("/v3/kv/txn").handler((context) -> answer(context, this.writes, this.values::transaction));
		router.post("/v3/lease/grant")
			.handler((context) -> answer(context, this.writes,
					(body) -> this.values.grantLease(body, System.currentTimeMillis())));
		router.post("/v3/lease/keepalive")
			.handler((context) -> answer(context, this.writes,
					(body) -> this.values.keepLease(body, LEASE_KEEP_MILLIS, System.currentTimeMillis())));
		router.post("/v3/lease/revoke").handler((context) -> answer(context, this.writes, this.values::revokeLease));
		router.post("/v3/watch").handler(this::watch);
		router.get("/vms").handler((context) -> context.json(new JsonArray(this.vms.values().stream().toList())));
		router.put("/vms/:id").handler(this::putVm);
		router.delete("/vms/:id").handler(this::removeVm);
		router.post("/rate").handler(this::rate);
		router.get("/weights/:version")
			.handler((context) -> context.json(new JsonObject().put("version", context.pathParam("version"))));
		router.post("/fault/store").handler(this.storeFault::set);
		router.post("/fault/rating").handler(this.ratingFault::set);
		return this.vertx.createHttpServer().requestHandler(router).listen(port, "127.0.0.1");
	}

	private void answer(RoutingContext context, RateLimit limit, Function<JsonObject, JsonObject> operation) {
		if (this.storeFault.down()) {
			context.request().connection().close();
			return;
		}
		if (!limit.take()) {
			context.response().setStatusCode(429).end();
			return;
		}
		JsonObject body = context.body().asJsonObject();
		after(this.storeFault.delayMillis(), () -> {
			JsonObject result = operation.apply(body);
			if (this.storeFault.losesAnswers()) {
				context.request().connection().close();
				return;
			}
			context.json(result);
		});
	}

	private void watch(RoutingContext context) {
		if (this.storeFault.down()) {
			context.request().connection().close();
			return;
		}
		HttpServerResponse response = context.response().setChunked(true);
		JsonObject body = context.body().asJsonObject();
		long[] watch = new long[1];
		watch[0] = this.values.watch(body, (message) -> {
			if (this.storeFault.down()) {
				context.request().connection().close();
			}
			else if (!response.ended()) {
				response.write(message.encode() + "\n");
			}
		});
		response.closeHandler((closed) -> this.values.unwatch(watch[0]));
	}

	private void putVm(RoutingContext context) {
		JsonObject vm = context.body().asJsonObject().put("id", context.pathParam("id"));
		this.vms.put(context.pathParam("id"), vm);
		context.response().end();
	}

	private void removeVm(RoutingContext context) {
		this.vms.remove(context.pathParam("id"));
		context.response().end();
	}

	/**
	 * Rates an answer: one that says itself how good it is gets that rating, so that a
	 * run is repeatable.
	 */
	private void rate(RoutingContext context) {
		if (this.ratingFault.down()) {
			context.request().connection().close();
			return;
		}
		String answer = context.body().asJsonObject().getString("answer", "");
		double score = Answers.quality(answer);
		after(this.ratingFault.delayMillis(), () -> context.json(new JsonObject().put("score", score)));
	}

	private void after(int millis, Runnable action) {
		if (millis == 0) {
			action.run();
		}
		else {
			this.vertx.setTimer(millis, (timer) -> action.run());
		}
	}

}
