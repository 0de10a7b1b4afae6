package org.gullsaddle.standin;

import java.io.IOException;
import java.util.concurrent.ExecutionException;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.json.JsonObject;

/**
 * Sends the demonstration's requests, and notes what the caller was told.
 */
final class DemoClient implements AutoCloseable {

	private static final int ENTRY_SPACING = 10;

	private static final int CALLERS_PORT = 11;

	private static final int ADMIN_PORT = 12;

	private static final int CONNECTIONS = 32;

	private static final String DATA = "data: ";

	private final Vertx vertx = Vertx.vertx();

	private final HttpClient client = this.vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(CONNECTIONS));

	private final int port;

	DemoClient(int port) {
		this.port = port;
	}

	JsonObject send(DemoRequest request, int entry) throws IOException {
		String path = request.order() ? "/v1/services/" + request.template() + "/orders" : "/v1/chat/completions";
		int to = this.port + CALLERS_PORT + entry * ENTRY_SPACING;
		Future<Answer> answer = this.client.request(HttpMethod.POST, to, "127.0.0.1", path).compose((sent) -> {
			sent.putHeader("Authorization", "Bearer key-of-" + request.team());
			if (request.order()) {
				sent.putHeader("Idempotency-Key", request.key());
			}
			if (request.session() != null) {
				sent.putHeader("X-Session-Id", request.session());
			}
			return answer(sent, request.body().toBuffer());
		});
		return told(request, await(answer));
	}

	JsonObject get(int offset, String path) throws IOException {
		return new JsonObject(await(this.client.request(HttpMethod.GET, this.port + offset, "127.0.0.1", path)
			.compose((sent) -> answer(sent, Buffer.buffer()))).body());
	}

	JsonObject admin(String path) throws IOException {
		return new JsonObject(
				await(this.client.request(HttpMethod.GET, this.port + ADMIN_PORT, "127.0.0.1", "/admin/v1/" + path)
					.compose((sent) -> answer(sent.putHeader("Authorization", "Bearer key-of-ann"), Buffer.buffer())))
					.body());
	}

	@Override
	public void close() {
		this.vertx.close();
	}

	private static Future<Answer> answer(HttpClientRequest request, Buffer body) {
		return request.send(body)
			.compose((response) -> response.body().map((read) -> new Answer(response, read.toString())));
	}

	private static JsonObject told(DemoRequest request, Answer answer) {
		JsonObject told = new JsonObject().put("team", request.team())
			.put("content", request.content())
			.put("kind", request.order() ? "order" : "chat")
			.put("session", request.session())
			.put("key", request.key())
			.put("status", answer.response().statusCode())
			.put("request", answer.response().getHeader("X-Request-Id"))
			.put("version", answer.response().getHeader("X-Served-By"));
		if (answer.response().statusCode() != 200) {
			JsonObject error = new JsonObject(answer.body()).getJsonObject("error");
			return told.put("outcome", error.getString("type"))
				.put("verdict", error.getString("verdict"))
				.put("retryAfter", answer.response().getHeader("Retry-After"));
		}
		told.put("outcome", "served");
		if (request.order()) {
			return told.put("verdict", answer.response().getHeader("X-Verdict"))
				.put("cost", Long.parseLong(answer.response().getHeader("X-Cost-Microdollars")))
				.put("text", answer.body())
				.put("whole", true);
		}
		return request.stream() ? streamed(told, answer.body()) : whole(told, new JsonObject(answer.body()));
	}

	private static JsonObject whole(JsonObject told, JsonObject body) {
		JsonObject choice = body.getJsonArray("choices").getJsonObject(0);
		return end(told, body).put("text", choice.getJsonObject("message").getString("content"))
			.put("whole", choice.getString("finish_reason").equals("stop"));
	}

	private static JsonObject streamed(JsonObject told, String body) {
		StringBuilder text = new StringBuilder();
		boolean done = false;
		for (String line : body.split("\n")) {
			if (line.equals(DATA + "[DONE]")) {
				done = true;
			}
			else if (line.startsWith(DATA)) {
				JsonObject event = new JsonObject(line.substring(DATA.length()));
				if (event.containsKey("error")) {
					return told.put("outcome", "broke-off")
						.put("verdict", event.getJsonObject("error").getString("verdict"));
				}
				text.append(
						event.getJsonArray("choices").getJsonObject(0).getJsonObject("delta").getString("content", ""));
				if (event.containsKey("gullsaddle")) {
					end(told, event);
				}
			}
		}
		return told.put("text", text.toString()).put("whole", done);
	}

	private static JsonObject end(JsonObject told, JsonObject event) {
		JsonObject trace = event.getJsonObject("gullsaddle");
		return told.put("verdict", trace.getString("verdict"))
			.put("cost", trace.getLong("cost_microdollars"))
			.put("tokens", event.getJsonObject("usage").getLong("completion_tokens"));
	}

	private static <T> T await(Future<T> future) throws IOException {
		try {
			return future.toCompletionStage().toCompletableFuture().get();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("interrupted", ex);
		}
		catch (ExecutionException ex) {
			throw new IOException(ex.getCause().getMessage(), ex.getCause());
		}
	}

	/**
	 * A whole answer.
	 */
	private record Answer(HttpClientResponse response, String body) {
	}

}
