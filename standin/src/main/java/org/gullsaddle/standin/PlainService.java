package org.gullsaddle.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;

/**
 * A service that books every order it is sent, and does not look for repeats itself.
 */
public final class PlainService {

	private static final int WORK_MILLIS = 20;

	private final Vertx vertx;

	private final Map<String, Integer> orders = new ConcurrentHashMap<>();

	private final Fault fault = new Fault();

	private PlainService(Vertx vertx) {
		this.vertx = vertx;
	}

	/**
	 * Starts a service on the loopback address.
	 * @param vertx where to run
	 * @param port the port, 0 for any
	 * @return the server once it listens
	 */
	public static Future<HttpServer> start(Vertx vertx, int port) {
		return new PlainService(vertx).listen(port);
	}

	private Future<HttpServer> listen(int port) {
		Router router = Router.router(this.vertx);
		router.route().handler(BodyHandler.create(false));
		router.get("/health").handler((context) -> context.response().end());
		router.get("/orders").handler((context) -> context.json(new JsonObject(Map.copyOf(this.orders))));
		router.post("/orders").handler(this::order);
		router.get("/stock/:item")
			.handler(
					(context) -> context.json(new JsonObject().put("item", context.pathParam("item")).put("left", 12)));
		router.post("/fault").handler(this.fault::set);
		return this.vertx.createHttpServer().requestHandler(router).listen(port, "127.0.0.1");
	}

	private void order(RoutingContext context) {
		String item = context.body().asJsonObject().getString("item", "nothing");
		int count = this.orders.merge(item, 1, Integer::sum);
		this.vertx.setTimer(WORK_MILLIS + this.fault.delayMillis(), (timer) -> {
			if (this.fault.losesAnswers()) {
				context.request().connection().close();
				return;
			}
			context.json(new JsonObject().put("booked", item).put("number", count));
		});
	}

}
