package org.gullsaddle.route;

import java.util.Optional;

import org.gullsaddle.base.Check;
import org.gullsaddle.base.Fingerprint;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.RequestId;
import org.gullsaddle.base.SessionId;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.TemplateName;

/**
 * A caller's request as it is passed to the router.
 */
public final class IncomingRequest {

	private final RequestId id;

	private final TeamId team;

	private final TemplateName template;

	private final SessionId session;

	private final ModelVersion pinnedVersion;

	private final String idempotencyKey;

	private final boolean repeatable;

	private final long deadline;

	private final Fingerprint fingerprint;

	private final long prefixHash;

	private final String body;

	private IncomingRequest(Builder builder) {
		this.id = Check.notNull(builder.id, "id");
		this.team = Check.notNull(builder.team, "team");
		this.template = Check.notNull(builder.template, "template");
		this.fingerprint = Check.notNull(builder.fingerprint, "fingerprint");
		this.body = Check.notNull(builder.body, "body");
		this.session = builder.session;
		this.pinnedVersion = builder.pinnedVersion;
		this.idempotencyKey = builder.idempotencyKey;
		this.repeatable = builder.repeatable;
		this.deadline = builder.deadline;
		this.prefixHash = builder.prefixHash;
		Check.that(this.repeatable || this.idempotencyKey != null,
				"a request that may run only once needs an idempotency key");
	}

	/**
	 * Returns a builder of a request.
	 * @param id the id of the request
	 * @param team its team
	 * @param template the template it names
	 * @return a builder of a repeatable request without a session
	 */
	public static Builder builder(RequestId id, TeamId team, TemplateName template) {
		return new Builder(id, team, template);
	}

	/**
	 * Returns the request's id.
	 * @return the id
	 */
	public RequestId id() {
		return this.id;
	}

	/**
	 * Returns the team that sent it.
	 * @return the team
	 */
	public TeamId team() {
		return this.team;
	}

	/**
	 * Returns the template it names.
	 * @return the template
	 */
	public TemplateName template() {
		return this.template;
	}

	/**
	 * Returns its session.
	 * @return the session, or empty if it belongs to none
	 */
	public Optional<SessionId> session() {
		return Optional.ofNullable(this.session);
	}

	/**
	 * Returns the version that its signed session token names.
	 * @return the version, or empty if it had no valid token
	 */
	public Optional<ModelVersion> pinnedVersion() {
		return Optional.ofNullable(this.pinnedVersion);
	}

	/**
	 * Returns its idempotency key.
	 * @return the key, or empty if it has none
	 */
	public Optional<String> idempotencyKey() {
		return Optional.ofNullable(this.idempotencyKey);
	}

	/**
	 * Returns whether it may run more than once.
	 * @return true if it may run more than once
	 */
	public boolean isRepeatable() {
		return this.repeatable;
	}

	/**
	 * Returns when it must be answered.
	 * @return the time in milliseconds, on the clock of the events
	 */
	public long deadline() {
		return this.deadline;
	}

	/**
	 * Returns the hash of its team and content.
	 * @return the fingerprint
	 */
	public Fingerprint fingerprint() {
		return this.fingerprint;
	}

	/**
	 * Returns the hash of the start of its prompt. It is equal for prompts that can share
	 * a cached prefix.
	 * @return the hash
	 */
	public long prefixHash() {
		return this.prefixHash;
	}

	/**
	 * Returns the body that is sent to the backend server.
	 * @return the body
	 */
	public String body() {
		return this.body;
	}

	/**
	 * Builds an {@link IncomingRequest}.
	 */
	public static final class Builder {

		private final RequestId id;

		private final TeamId team;

		private final TemplateName template;

		private SessionId session;

		private ModelVersion pinnedVersion;

		private String idempotencyKey;

		private boolean repeatable = true;

		private long deadline = Long.MAX_VALUE;

		private Fingerprint fingerprint;

		private long prefixHash;

		private String body = "";

		private Builder(RequestId id, TeamId team, TemplateName template) {
			this.id = id;
			this.team = team;
			this.template = template;
			this.fingerprint = new Fingerprint(id.value());
		}

		/**
		 * Puts the request into a session.
		 * @param session the session, or null for none
		 * @return this builder
		 */
		public Builder session(SessionId session) {
			this.session = session;
			return this;
		}

		/**
		 * Sets the version that the signed session token names.
		 * @param version the version, or null for none
		 * @return this builder
		 */
		public Builder pinnedVersion(ModelVersion version) {
			this.pinnedVersion = version;
			return this;
		}

		/**
		 * Makes the request one that may run only once.
		 * @param key its idempotency key
		 * @return this builder
		 */
		public Builder atMostOnce(String key) {
			this.idempotencyKey = key;
			this.repeatable = false;
			return this;
		}

		/**
		 * Sets when the request must be answered.
		 * @param deadline the time in milliseconds, on the clock of the events
		 * @return this builder
		 */
		public Builder deadline(long deadline) {
			this.deadline = deadline;
			return this;
		}

		/**
		 * Sets the hash of team and content. The default is the id of the request.
		 * @param fingerprint the hash
		 * @return this builder
		 */
		public Builder fingerprint(Fingerprint fingerprint) {
			this.fingerprint = fingerprint;
			return this;
		}

		/**
		 * Sets the hash of the start of the prompt.
		 * @param hash the hash
		 * @return this builder
		 */
		public Builder prefixHash(long hash) {
			this.prefixHash = hash;
			return this;
		}

		/**
		 * Sets the body that is sent to the backend server.
		 * @param body the body
		 * @return this builder
		 */
		public Builder body(String body) {
			this.body = body;
			return this;
		}

		/**
		 * Builds the request.
		 * @return the request
		 * @throws IllegalArgumentException if something required is missing
		 */
		public IncomingRequest build() {
			return new IncomingRequest(this);
		}

	}

}
