package org.gullsaddle.entry;

import io.vertx.core.Context;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

import org.gullsaddle.base.Completion;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.Refusal;
import org.gullsaddle.base.Verdict;

/**
 * Writes a chat completion, streamed or as one body, in the format that clients of model
 * APIs expect. State is confined to the request's Vert.x context.
 */
final class ChatResponse implements CallerResponse {

	private static final int OK = 200;

	private static final long MILLIS_PER_SECOND = 1000;

	private final Exchange exchange;

	private final SessionRegistry sessions;

	private final Context context;

	private final HttpServerResponse response;

	private final long createdSeconds;

	private final StringBuilder collectedText = new StringBuilder();

	private boolean started;

	ChatResponse(Exchange exchange, SessionRegistry sessions, Context context, long wallMillis) {
		this.exchange = exchange;
		this.sessions = sessions;
		this.context = context;
		this.response = exchange.context().response();
		this.createdSeconds = wallMillis / MILLIS_PER_SECOND;
	}

	@Override
	public void deliver(ModelVersion version, String text, Runnable taken) {
		this.context.runOnContext((ignored) -> {
			if (!this.exchange.isStreamed()) {
				this.collectedText.append(text);
				taken.run();
				return;
			}
			startResponse(version.toString());
			writeEvent(chunkJson(version.toString(), new JsonObject().put("content", text), null));
			if (this.response.writeQueueFull()) {
				this.response.drainHandler((drained) -> taken.run());
			}
			else {
				taken.run();
			}
		});
	}

	@Override
	public void complete(String servedBy, Completion completion, long costMicros) {
		this.context.runOnContext((ignored) -> {
			JsonObject usage = new JsonObject().put("prompt_tokens", completion.usage().promptTokens())
				.put("completion_tokens", completion.usage().outputTokens())
				.put("total_tokens", completion.usage().promptTokens() + completion.usage().outputTokens());
			JsonObject trace = new JsonObject().put("request_id", this.exchange.id().value())
				.put("served_by", servedBy)
				.put("verdict", Verdict.RAN.toString())
				.put("cost_microdollars", costMicros);
			if (this.exchange.isStreamed()) {
				startResponse(servedBy);
				writeEvent(chunkJson(servedBy, new JsonObject(), completion.finishReason()).put("usage", usage)
					.put("gullsaddle", trace));
				this.response.end("data: [DONE]\n\n");
				return;
			}
			putHeaders(servedBy);
			JsonObject choice = new JsonObject().put("index", 0)
				.put("message", new JsonObject().put("role", "assistant").put("content", this.collectedText.toString()))
				.put("finish_reason", completion.finishReason());
			this.response.setStatusCode(OK)
				.putHeader("Content-Type", "application/json")
				.putHeader(Headers.VERDICT, Verdict.RAN.toString())
				.putHeader(Headers.COST, String.valueOf(costMicros))
				.end(completionJson("chat.completion", servedBy).put("choices", new JsonArray().add(choice))
					.put("usage", usage)
					.put("gullsaddle", trace)
					.encode());
		});
	}

	@Override
	public void refuse(Refusal refusal) {
		this.context.runOnContext((ignored) -> {
			if (!this.started) {
				RefusalWriter.write(this.exchange, refusal, "");
				return;
			}
			// The [DONE] event is left out, so that clients see that the answer is
			// incomplete.
			writeEvent(RefusalWriter.errorJson(this.exchange, refusal, "the answer broke off"));
			this.response.end();
		});
	}

	private void startResponse(String servedBy) {
		if (!this.started) {
			this.started = true;
			putHeaders(servedBy);
			this.response.setStatusCode(OK).setChunked(true).putHeader("Content-Type", "text/event-stream");
		}
	}

	private void putHeaders(String servedBy) {
		this.response.putHeader(Headers.REQUEST_ID, this.exchange.id().value()).putHeader(Headers.SERVED_BY, servedBy);
		if (this.exchange.session() != null) {
			this.response.putHeader(Headers.SESSION_TOKEN, this.sessions.createToken(this.exchange.team(),
					this.exchange.template(), this.exchange.session(), ModelVersion.of(servedBy)));
		}
	}

	private JsonObject chunkJson(String servedBy, JsonObject delta, String finishReason) {
		JsonObject choice = new JsonObject().put("index", 0).put("delta", delta).put("finish_reason", finishReason);
		return completionJson("chat.completion.chunk", servedBy).put("choices", new JsonArray().add(choice));
	}

	private JsonObject completionJson(String kind, String servedBy) {
		return new JsonObject().put("id", this.exchange.id().value())
			.put("object", kind)
			.put("created", this.createdSeconds)
			.put("model", servedBy);
	}

	private void writeEvent(JsonObject event) {
		if (!this.response.ended() && !this.response.closed()) {
			this.response.write("data: " + event.encode() + "\n\n");
		}
	}

}
