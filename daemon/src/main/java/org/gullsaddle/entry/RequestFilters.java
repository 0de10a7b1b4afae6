package org.gullsaddle.entry;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.dynatrace.hash4j.hashing.Hashing;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

import org.gullsaddle.allowance.AllowanceTable;
import org.gullsaddle.base.Json;
import org.gullsaddle.base.Refusal;
import org.gullsaddle.base.RefusalReason;
import org.gullsaddle.base.ServiceCall;
import org.gullsaddle.base.SessionId;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.TemplateName;
import org.gullsaddle.base.Usage;
import org.gullsaddle.settings.AccessKey;
import org.gullsaddle.template.TeamRule;
import org.gullsaddle.template.Template;
import org.gullsaddle.template.TemplateKind;
import org.gullsaddle.template.TemplateRevision;
import org.gullsaddle.template.VersionRule;

/**
 * The request filters, in the order in which {@link CallerApi} applies them.
 */
final class RequestFilters {

	private static final String BEARER = "Bearer ";

	private static final long STOPPING_RETRY_AFTER_MILLIS = 500;

	private static final long LEDGER_RETRY_AFTER_MILLIS = 5000;

	private static final int MAX_MESSAGES = 1000;

	private static final int DEFAULT_OUTPUT_TOKENS = 1024;

	private static final int MAX_OUTPUT_TOKENS = 32_768;

	private static final int CHARACTERS_PER_TOKEN = 3;

	private static final long MAX_DEADLINE_MILLIS = 3_600_000;

	private static final Set<String> MESSAGE_ROLES = Set.of("system", "developer", "user", "assistant", "tool");

	/** Parameters of the request body that are forwarded to the engine unchanged. */
	private static final List<String> FORWARDED_PARAMETERS = List.of("temperature", "top_p", "stop", "seed",
			"frequency_penalty", "presence_penalty");

	private static final Set<String> READ_METHODS = Set.of("GET", "HEAD");

	private RequestFilters() {
	}

	/**
	 * Refuses every request while the node is stopping.
	 */
	record StopCheck(EntryNode node) implements RequestFilter {

		@Override
		public void apply(Exchange exchange) throws RefusedException {
			if (this.node.isStopping()) {
				throw new RefusedException(Refusal.notRun(RefusalReason.STOPPING, STOPPING_RETRY_AFTER_MILLIS),
						"this node is stopping");
			}
		}

	}

	/**
	 * Identifies the team by the caller's API key.
	 */
	record Authentication(List<AccessKey<TeamId>> keys) implements RequestFilter {

		@Override
		public void apply(Exchange exchange) throws RefusedException {
			String header = exchange.header("Authorization");
			Optional<TeamId> team = (header != null && header.startsWith(BEARER))
					? AccessKey.owner(this.keys, header.substring(BEARER.length()).strip()) : Optional.empty();
			exchange.team(team
				.orElseThrow(() -> new RefusedException(RefusalReason.UNAUTHENTICATED, "the API key is not known")));
		}

	}

	/**
	 * Parses and checks the body of a chat completion request.
	 */
	record ChatBody() implements RequestFilter {

		@Override
		public void apply(Exchange exchange) throws RefusedException {
			JsonObject body = parseBody(exchange);
			try {
				exchange.template(new TemplateName(body.getString("model", "")));
				JsonArray messages = readMessages(body);
				int maxTokens = readMaxTokens(body);
				JsonObject chat = new JsonObject().put("messages", messages).put("max_tokens", maxTokens);
				FORWARDED_PARAMETERS.stream()
					.filter(body::containsKey)
					.forEach((name) -> chat.put(name, body.getValue(name)));
				String text = chat.encode();
				exchange.chat(chat, body.getBoolean("stream", false), text.length() / CHARACTERS_PER_TOKEN + 1,
						maxTokens);
				exchange.body(text, exchange.template() + text,
						Hashing.komihash5_0().hashCharsToLong(messages.getJsonObject(0).encode()));
			}
			catch (IllegalArgumentException | ClassCastException ex) {
				throw new RefusedException(RefusalReason.INVALID, "request body: " + ex.getMessage());
			}
		}

		private static JsonObject parseBody(Exchange exchange) throws RefusedException {
			try {
				JsonObject body = exchange.context().body().asJsonObject();
				if (body == null) {
					throw new RefusedException(RefusalReason.INVALID, "request body: must be a JSON object");
				}
				return body;
			}
			catch (DecodeException | ClassCastException ex) {
				throw new RefusedException(RefusalReason.INVALID, "request body: must be a JSON object");
			}
		}

		private static JsonArray readMessages(JsonObject body) {
			JsonArray messages = body.getJsonArray("messages", new JsonArray());
			if (messages.isEmpty() || messages.size() > MAX_MESSAGES) {
				throw new IllegalArgumentException("messages must have 1 to " + MAX_MESSAGES + " items");
			}
			for (int i = 0; i < messages.size(); i++) {
				JsonObject message = messages.getJsonObject(i);
				String role = message.getString("role", "");
				if (!MESSAGE_ROLES.contains(role)) {
					throw new IllegalArgumentException("messages[" + i + "].role must be one of " + MESSAGE_ROLES);
				}
				if (!(message.getValue("content") instanceof String)) {
					throw new IllegalArgumentException("messages[" + i + "].content must be a text");
				}
			}
			return messages;
		}

		private static int readMaxTokens(JsonObject body) {
			Integer requested = body.getInteger("max_completion_tokens", body.getInteger("max_tokens"));
			int maxTokens = (requested != null) ? requested : DEFAULT_OUTPUT_TOKENS;
			if (maxTokens < 1 || maxTokens > MAX_OUTPUT_TOKENS) {
				throw new IllegalArgumentException("max_tokens must be between 1 and " + MAX_OUTPUT_TOKENS);
			}
			return maxTokens;
		}

	}

	/**
	 * Reads a call to a service that is not a language model.
	 */
	record ServiceBody() implements RequestFilter {

		@Override
		public void apply(Exchange exchange) throws RefusedException {
			try {
				exchange.template(new TemplateName(exchange.context().pathParam("template")));
				String method = exchange.context().request().method().name();
				String key = Optional.ofNullable(exchange.header(Headers.IDEMPOTENCY_KEY)).orElse("");
				String type = Optional.ofNullable(exchange.header("Content-Type")).orElse("application/octet-stream");
				Buffer body = exchange.context().body().buffer();
				String text = (body != null) ? body.toString(StandardCharsets.ISO_8859_1) : "";
				ServiceCall call = new ServiceCall(method, servicePath(exchange), type, key, text);
				exchange.body(Json.write(call), exchange.template() + " " + method + " " + call.path() + " " + text, 0);
				if (!READ_METHODS.contains(method)) {
					exchange.requireAtMostOnce(key);
				}
			}
			catch (IllegalArgumentException ex) {
				throw new RefusedException(RefusalReason.INVALID, "call: " + ex.getMessage());
			}
		}

		private static String servicePath(Exchange exchange) {
			String prefix = "/v1/services/" + exchange.template();
			String path = exchange.context().request().uri().substring(prefix.length());
			return path.startsWith("/") ? path : "/" + path;
		}

	}

	/**
	 * Checks that the team may use the template and that a required idempotency key is
	 * there, and sets the deadline.
	 */
	record TemplateCheck(EntryNode node, TemplateKind kind) implements RequestFilter {

		@Override
		public void apply(Exchange exchange) throws RefusedException {
			TemplateRevision revision = this.node.findTemplate(exchange.template()).orElse(null);
			TeamRule team = (revision != null) ? revision.template().findTeam(exchange.team()).orElse(null) : null;
			if (team == null || revision.template().kind() != this.kind) {
				throw new RefusedException(RefusalReason.NO_TEMPLATE,
						"there is no template '" + exchange.template() + "' for this key");
			}
			if (!exchange.isRepeatable()) {
				checkIdempotencyKey(exchange, revision.template());
			}
			exchange.deadline(exchange.arrival().millis() + timeoutMillis(exchange, team));
		}

		private static void checkIdempotencyKey(Exchange exchange, Template template) throws RefusedException {
			if (exchange.idempotencyKey().isEmpty() && !template.repeatable()) {
				throw new RefusedException(RefusalReason.KEY_REQUIRED,
						"this call may run at most once and needs the header " + Headers.IDEMPOTENCY_KEY);
			}
			if (exchange.idempotencyKey().length() > 128) {
				throw new RefusedException(RefusalReason.INVALID,
						Headers.IDEMPOTENCY_KEY + " must have at most 128 characters");
			}
		}

		private static long timeoutMillis(Exchange exchange, TeamRule team) throws RefusedException {
			String header = exchange.header(Headers.TIMEOUT);
			if (header == null) {
				return team.deadlineMillis();
			}
			if (!header.matches("[1-9]\\d{0,9}") || Long.parseLong(header) > MAX_DEADLINE_MILLIS) {
				throw new RefusedException(RefusalReason.INVALID,
						Headers.TIMEOUT + " must be a number of milliseconds from 1 to " + MAX_DEADLINE_MILLIS);
			}
			return Long.parseLong(header);
		}

	}

	/**
	 * Reads the session id and the version that the session is pinned to by its token.
	 */
	record SessionPin(SessionRegistry sessions) implements RequestFilter {

		@Override
		public void apply(Exchange exchange) throws RefusedException {
			String id = exchange.header(Headers.SESSION_ID);
			String token = exchange.header(Headers.SESSION_TOKEN);
			try {
				if (id != null) {
					exchange.session(new SessionId(id));
				}
			}
			catch (IllegalArgumentException ex) {
				throw new RefusedException(RefusalReason.INVALID, Headers.SESSION_ID + ": " + ex.getMessage());
			}
			Optional<SessionRegistry.SessionToken> parsed = (token != null)
					? this.sessions.readToken(token, exchange.team(), exchange.template()) : Optional.empty();
			if (parsed.isPresent() && (id == null || parsed.get().session().equals(exchange.session()))) {
				exchange.session(parsed.get().session());
				exchange.pinnedVersion(parsed.get().version());
			}
		}

	}

	/**
	 * Refuses requests while the ledger is full, since a request that cannot be recorded
	 * must not run.
	 */
	record LedgerCheck(EntryNode node) implements RequestFilter {

		@Override
		public void apply(Exchange exchange) throws RefusedException {
			if (!this.node.hasLedgerCapacity()) {
				throw new RefusedException(Refusal.notRun(RefusalReason.STORE_UNAVAILABLE, LEDGER_RETRY_AFTER_MILLIS),
						"records cannot be written for now");
			}
		}

	}

	/**
	 * Reserves the request's highest possible cost from its team's allowance.
	 */
	record AllowanceCheck(EntryNode node, AllowanceTable allowances) implements RequestFilter {

		@Override
		public void apply(Exchange exchange) throws RefusedException {
			Template template = this.node.findTemplate(exchange.template()).orElseThrow().template();
			Usage maxUsage = new Usage(exchange.promptTokens(), exchange.maxTokens());
			// A cascade may run two versions, so the two highest costs are reserved.
			long cost = template.versions()
				.stream()
				.map(VersionRule::price)
				.mapToLong((price) -> price.costOf(maxUsage))
				.sorted()
				.skip(Math.max(0, template.versions().size() - 2))
				.sum();
			AllowanceTable.Result result = this.allowances.acquire(exchange.template(), exchange.team(), cost,
					this.node.clock().millis(), this.node.clock().wallMillis());
			if (result.refusal().isPresent()) {
				throw new RefusedException(result.refusal().get(), "the team's allowance is used up for now");
			}
			exchange.permit(result.permit().orElseThrow());
		}

	}

}
