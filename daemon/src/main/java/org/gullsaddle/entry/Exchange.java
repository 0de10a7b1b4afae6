package org.gullsaddle.entry;

import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;

import org.gullsaddle.allowance.Permit;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.RequestId;
import org.gullsaddle.base.SessionId;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.TemplateName;
import org.gullsaddle.clock.Moment;

/**
 * A caller's HTTP request and what the filters have read from it.
 */
final class Exchange {

	private final RoutingContext context;

	private final RequestId id;

	private final Moment arrival;

	private TeamId team;

	private TemplateName template;

	private JsonObject chat;

	private boolean streamed;

	private long promptTokens;

	private long maxTokens;

	private String body;

	private String content;

	private long prefixHash;

	private boolean repeatable = true;

	private String idempotencyKey;

	private long deadline;

	private SessionId session;

	private ModelVersion pinnedVersion;

	private Permit permit;

	Exchange(RoutingContext context, RequestId id, Moment arrival) {
		this.context = context;
		this.id = id;
		this.arrival = arrival;
	}

	RoutingContext context() {
		return this.context;
	}

	RequestId id() {
		return this.id;
	}

	Moment arrival() {
		return this.arrival;
	}

	String header(String name) {
		return this.context.request().getHeader(name);
	}

	TeamId team() {
		return this.team;
	}

	void team(TeamId value) {
		this.team = value;
	}

	TemplateName template() {
		return this.template;
	}

	void template(TemplateName value) {
		this.template = value;
	}

	JsonObject chat() {
		return this.chat;
	}

	void chat(JsonObject value, boolean streamed, long prompt, long max) {
		this.chat = value;
		this.streamed = streamed;
		this.promptTokens = prompt;
		this.maxTokens = max;
	}

	boolean isStreamed() {
		return this.streamed;
	}

	long promptTokens() {
		return this.promptTokens;
	}

	long maxTokens() {
		return this.maxTokens;
	}

	String body() {
		return this.body;
	}

	/**
	 * Sets the body for the backend server, and the content that identifies equal
	 * requests.
	 */
	void body(String value, String contentKey, long prefix) {
		this.body = value;
		this.content = contentKey;
		this.prefixHash = prefix;
	}

	String content() {
		return this.content;
	}

	long prefixHash() {
		return this.prefixHash;
	}

	boolean isRepeatable() {
		return this.repeatable;
	}

	String idempotencyKey() {
		return this.idempotencyKey;
	}

	void requireAtMostOnce(String key) {
		this.repeatable = false;
		this.idempotencyKey = key;
	}

	long deadline() {
		return this.deadline;
	}

	void deadline(long value) {
		this.deadline = value;
	}

	SessionId session() {
		return this.session;
	}

	void session(SessionId value) {
		this.session = value;
	}

	ModelVersion pinnedVersion() {
		return this.pinnedVersion;
	}

	void pinnedVersion(ModelVersion value) {
		this.pinnedVersion = value;
	}

	Permit permit() {
		return this.permit;
	}

	void permit(Permit value) {
		this.permit = value;
	}

}
