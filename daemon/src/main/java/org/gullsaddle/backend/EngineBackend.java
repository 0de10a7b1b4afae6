package org.gullsaddle.backend;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.rxjava3.core.http.HttpClientResponse;
import io.vertx.rxjava3.core.parsetools.RecordParser;

import org.gullsaddle.base.Completion;
import org.gullsaddle.base.Dispatch;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.Usage;
import org.gullsaddle.base.Verdict;

/**
 * A client of a model engine, over the common chat completions API with vLLM's extensions
 * for priority and for continuing a partial answer.
 */
final class EngineBackend implements Backend {

	private static final String DATA_PREFIX = "data: ";

	private static final String DONE_MARKER = "[DONE]";

	/** Largest event of an answer, in bytes. */
	private static final int MAX_EVENT_BYTES = 1 << 20;

	private static final int OK = 200;

	private static final int MIN_CLIENT_ERROR_STATUS = 400;

	private static final int MIN_SERVER_ERROR_STATUS = 500;

	private final BackendHttp http;

	EngineBackend(BackendHttp http) {
		this.http = http;
	}

	@Override
	public Flowable<BackendEvent> run(Dispatch dispatch) {
		Buffer body = requestBody(dispatch).toBuffer();
		return this.http.send(HttpMethod.POST, "/v1/chat/completions", "application/json", "", body)
			.concatMap(EngineBackend::responseLines)
			.filter((line) -> line.startsWith(DATA_PREFIX))
			.map((line) -> line.substring(DATA_PREFIX.length()).strip())
			.concatMap(new EventParser()::parse)
			.takeUntil((event) -> event instanceof BackendEvent.End)
			.onErrorResumeNext((failure) -> Flowable.error(BackendHttp.toBackendException(failure)));
	}

	@Override
	public Single<Set<ModelVersion>> probe() {
		return this.http.get("/v1/models").map((text) -> {
			Set<ModelVersion> versions = new HashSet<>();
			for (Object each : new JsonObject(text).getJsonArray("data", new JsonArray())) {
				String id = ((JsonObject) each).getString("id", "");
				if (id.indexOf('@') > 0) {
					versions.add(ModelVersion.of(id));
				}
			}
			return versions;
		});
	}

	private static JsonObject requestBody(Dispatch dispatch) {
		JsonObject body = new JsonObject(dispatch.body()).put("model", dispatch.version().toString())
			.put("stream", true)
			.put("stream_options", new JsonObject().put("include_usage", true))
			// The engine serves lower numbers first.
			.put("priority", -dispatch.rank());
		if (!dispatch.resume().isEmpty()) {
			body.getJsonArray("messages")
				.add(new JsonObject().put("role", "assistant").put("content", dispatch.resume()));
			body.put("continue_final_message", true).put("add_generation_prompt", false);
		}
		return body;
	}

	private static Flowable<String> responseLines(HttpClientResponse response) {
		int status = response.statusCode();
		if (status != OK) {
			// After a client error the engine has not run the request; after any other
			// status it may have.
			Verdict verdict = (status >= MIN_CLIENT_ERROR_STATUS && status < MIN_SERVER_ERROR_STATUS) ? Verdict.NOT_RUN
					: Verdict.MAY_HAVE_RUN;
			return Flowable.error(new BackendException("engine answered " + status, verdict, null));
		}
		return RecordParser.newDelimited("\n", response.toFlowable())
			.maxRecordSize(MAX_EVENT_BYTES)
			.toFlowable()
			.map((buffer) -> buffer.toString(StandardCharsets.UTF_8))
			.concatWith(Flowable
				.error(new BackendException("the answer broke off before its end", Verdict.MAY_HAVE_RUN, null)));
	}

	/**
	 * Parses one answer's events. Only the [DONE] marker ends an answer: otherwise a
	 * connection closed before it would make a partial answer look complete.
	 */
	private static final class EventParser {

		private String finishReason = "";

		private Usage usage = Usage.NONE;

		Flowable<BackendEvent> parse(String data) {
			if (data.equals(DONE_MARKER)) {
				return Flowable
					.just(new BackendEvent.End(new Completion(OK, "application/json", this.finishReason, this.usage)));
			}
			JsonObject chunk = new JsonObject(data);
			JsonObject used = chunk.getJsonObject("usage");
			if (used != null) {
				this.usage = new Usage(used.getLong("prompt_tokens", 0L), used.getLong("completion_tokens", 0L));
			}
			JsonArray choices = chunk.getJsonArray("choices", new JsonArray());
			if (choices.isEmpty()) {
				return Flowable.empty();
			}
			JsonObject choice = choices.getJsonObject(0);
			this.finishReason = choice.getString("finish_reason", this.finishReason);
			String text = choice.getJsonObject("delta", new JsonObject()).getString("content", "");
			return (text == null || text.isEmpty()) ? Flowable.empty() : Flowable.just(new BackendEvent.Chunk(text));
		}

	}

}
