package org.gullsaddle.standin;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

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
 * A model engine that streams chat completions, continues a partial answer, stops when
 * its caller goes away, and dies on a prompt that says so.
 */
public final class Engine {

	/** A prompt with this text kills the engine's process. */
	public static final String CRASH_MARK = "CRASH-THE-ENGINE";

	private static final int MAX_PREFIXES = 100;

	private static final int COLD_START_TOKENS = 5;

	private final Vertx vertx;

	private final Set<String> models = new ConcurrentSkipListSet<>();

	private final double skill;

	private final int tokenMillis;

	private final boolean checksFences;

	private final AtomicInteger running = new AtomicInteger();

	private final Map<String, Integer> served = new ConcurrentHashMap<>();

	private final Fault fault = new Fault();

	private long fence;

	private int prefixHits;

	private final Map<String, Boolean> prefixes = new LinkedHashMap<>(16, 0.75F, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
			return size() > MAX_PREFIXES;
		}
	};

	private Engine(Vertx vertx, List<String> models, double skill, int tokenMillis, boolean checksFences) {
		this.vertx = vertx;
		this.models.addAll(models);
		this.skill = skill;
		this.tokenMillis = tokenMillis;
		this.checksFences = checksFences;
	}

	/**
	 * Starts an engine on the loopback address.
	 * @param vertx where to run
	 * @param port the port, 0 for any
	 * @param models the versions loaded
	 * @param skill how good its answers are, 0 to 1
	 * @param tokenMillis the time between tokens in milliseconds
	 * @param checksFences whether it refuses orders with an old fencing number
	 * @return the server once it listens
	 */
	public static Future<HttpServer> start(Vertx vertx, int port, List<String> models, double skill, int tokenMillis,
			boolean checksFences) {
		return new Engine(vertx, models, skill, tokenMillis, checksFences).listen(port);
	}

	private Future<HttpServer> listen(int port) {
		Router router = Router.router(this.vertx);
		router.route().handler(BodyHandler.create(false));
		router.get("/health").handler((context) -> context.response().end());
		router.get("/load").handler((context) -> context.json(new JsonObject().put("server_load", this.running.get())));
		router.get("/v1/models").handler(this::models);
		router.get("/stats")
			.handler((context) -> context.json(new JsonObject().put("served", new JsonObject(Map.copyOf(this.served)))
				.put("prefixHits", this.prefixHits)));
		router.post("/v1/chat/completions").handler(this::complete);
		router.post("/v1/load_lora_adapter").handler((context) -> order(context, this.models::add));
		router.post("/v1/unload_lora_adapter").handler((context) -> order(context, this.models::remove));
		router.post("/fault").handler(this.fault::set);
		return this.vertx.createHttpServer().requestHandler(router).listen(port, "127.0.0.1");
	}

	private void models(RoutingContext context) {
		JsonArray data = new JsonArray();
		this.models.forEach((model) -> data.add(new JsonObject().put("id", model).put("object", "model")));
		context.json(new JsonObject().put("object", "list").put("data", data));
	}

	private void order(RoutingContext context, Consumer<String> change) {
		String token = context.request().getHeader("X-Fencing-Token");
		long number = (token != null) ? Long.parseLong(token) : 0;
		if (this.checksFences && number < this.fence) {
			context.response().setStatusCode(409).end();
			return;
		}
		this.fence = Math.max(this.fence, number);
		change.accept(context.body().asJsonObject().getString("lora_name"));
		context.response().end();
	}

	private void complete(RoutingContext context) {
		if (this.fault.down()) {
			context.response().setStatusCode(500).end();
			return;
		}
		JsonObject body = context.body().asJsonObject();
		String model = body.getString("model");
		if (!this.models.contains(model)) {
			context.response().setStatusCode(404).end("model not loaded");
			return;
		}
		JsonArray messages = body.getJsonArray("messages");
		String prompt = prompt(messages);
		if (prompt.contains(CRASH_MARK)) {
			this.vertx.setTimer(this.tokenMillis * 3L, (timer) -> Runtime.getRuntime().halt(139));
		}
		String partial = body.getBoolean("continue_final_message", false)
				? messages.getJsonObject(messages.size() - 1).getString("content") : "";
		this.served.merge(model, 1, Integer::sum);
		List<String> tokens = Answers.tokens(model, this.skill, prompt);
		new Stream(context.response(), model, tokens, partial, prompt.length() / 4 + 1,
				body.getInteger("max_tokens", Integer.MAX_VALUE))
			.start(coldStart(messages));
	}

	private int coldStart(JsonArray messages) {
		String first = messages.getJsonObject(0).getString("content");
		if (this.prefixes.put(first, Boolean.TRUE) != null) {
			this.prefixHits++;
			return 1;
		}
		return this.tokenMillis * COLD_START_TOKENS + 1;
	}

	private static String prompt(JsonArray messages) {
		StringBuilder text = new StringBuilder();
		for (int i = 0; i < messages.size(); i++) {
			JsonObject message = messages.getJsonObject(i);
			if (!message.getString("role").equals("assistant")) {
				text.append(message.getString("content")).append('\n');
			}
		}
		return text.toString();
	}

	/**
	 * One answer under way.
	 */
	private final class Stream {

		private final HttpServerResponse response;

		private final String model;

		private final List<String> tokens;

		private final int promptTokens;

		private final int maxTokens;

		private int skip;

		private int next;

		private int sent;

		private boolean over;

		Stream(HttpServerResponse response, String model, List<String> tokens, String partial, int promptTokens,
				int maxTokens) {
			this.response = response;
			this.model = model;
			this.tokens = tokens;
			this.promptTokens = promptTokens;
			this.maxTokens = maxTokens;
			this.skip = partial.length();
		}

		void start(int delayMillis) {
			Engine.this.running.incrementAndGet();
			this.response.setChunked(true).putHeader("Content-Type", "text/event-stream");
			this.response.closeHandler((closed) -> end());
			Engine.this.vertx.setTimer(delayMillis, (timer) -> step());
		}

		private void step() {
			if (this.over) {
				return;
			}
			if (this.next >= this.tokens.size() || this.sent >= this.maxTokens) {
				finish();
				return;
			}
			String token = this.tokens.get(this.next);
			this.next++;
			if (this.skip >= token.length()) {
				this.skip -= token.length();
				step();
				return;
			}
			write(new JsonObject().put("delta", new JsonObject().put("content", token.substring(this.skip))), null);
			this.skip = 0;
			this.sent++;
			if (this.response.writeQueueFull()) {
				this.response.drainHandler((drained) -> step());
				return;
			}
			Engine.this.vertx.setTimer(Math.max(1, Engine.this.tokenMillis), (timer) -> step());
		}

		private void finish() {
			write(new JsonObject().put("delta", new JsonObject())
				.put("finish_reason", (this.sent >= this.maxTokens) ? "length" : "stop"),
					new JsonObject().put("prompt_tokens", this.promptTokens).put("completion_tokens", this.sent));
			this.response.end("data: [DONE]\n\n");
			end();
		}

		private void write(JsonObject choice, JsonObject usage) {
			JsonObject chunk = new JsonObject().put("object", "chat.completion.chunk")
				.put("model", this.model)
				.put("choices", new JsonArray().add(choice.put("index", 0)));
			if (usage != null) {
				chunk.put("usage", usage);
			}
			this.response.write("data: " + chunk.encode() + "\n\n");
		}

		private void end() {
			if (!this.over) {
				this.over = true;
				Engine.this.running.decrementAndGet();
			}
		}

	}

}
