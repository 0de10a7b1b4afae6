package org.gullsaddle.standin;

import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;

/**
 * How a stand-in misbehaves, as ordered by {@code POST /fault}.
 */
final class Fault {

	private volatile String mode = "none";

	private volatile int delayMillis;

	void set(RoutingContext context) {
		JsonObject order = context.body().asJsonObject();
		this.mode = order.getString("mode", "none");
		this.delayMillis = order.getInteger("delayMillis", 0);
		context.response().end();
	}

	boolean down() {
		return this.mode.equals("down");
	}

	boolean losesAnswers() {
		return this.mode.equals("lose-answers");
	}

	int delayMillis() {
		return this.mode.equals("slow") ? this.delayMillis : 0;
	}

}
