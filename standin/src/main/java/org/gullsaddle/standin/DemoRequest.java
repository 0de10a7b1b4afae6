package org.gullsaddle.standin;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/**
 * One request of the demonstration.
 *
 * @param team who sends it
 * @param template what it names
 * @param content the prompt, or the item to order
 * @param stream whether the answer is to be streamed
 * @param session its session, or null
 * @param key its idempotency key, or null for a chat
 */
record DemoRequest(String team, String template, String content, boolean stream, String session, String key) {

	static DemoRequest chat(String team, String prompt) {
		return new DemoRequest(team, "assistant", prompt, false, null, null);
	}

	static DemoRequest order(String team, String item, String key) {
		return new DemoRequest(team, "bookings", item, false, null, key);
	}

	DemoRequest streamed() {
		return new DemoRequest(this.team, this.template, this.content, true, this.session, this.key);
	}

	DemoRequest session(String id) {
		return new DemoRequest(this.team, this.template, this.content, this.stream, id, this.key);
	}

	DemoRequest template(String name) {
		return new DemoRequest(this.team, name, this.content, this.stream, this.session, this.key);
	}

	boolean order() {
		return this.key != null;
	}

	JsonObject body() {
		if (order()) {
			return new JsonObject().put("item", this.content);
		}
		JsonObject message = new JsonObject().put("role", "user").put("content", this.content);
		return new JsonObject().put("model", this.template)
			.put("stream", this.stream)
			.put("messages", new JsonArray().add(message));
	}

}
