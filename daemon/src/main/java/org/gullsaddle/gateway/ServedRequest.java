package org.gullsaddle.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

import org.gullsaddle.base.Fingerprint;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.fleet.ColdStart;
import org.gullsaddle.fleet.EngineSpec;
import org.gullsaddle.fleet.FleetConfig;
import org.gullsaddle.fleet.RegionLimit;
import org.gullsaddle.fleet.Route;
import org.gullsaddle.fleet.RouteKind;
import org.gullsaddle.fleet.ServiceName;
import org.gullsaddle.fleet.ServiceSpec;
import org.gullsaddle.fleet.Team;
import org.gullsaddle.serve.ModelSlowdown;
import org.gullsaddle.serve.PromptPart;
import org.gullsaddle.serve.ReleaseKey;
import org.gullsaddle.serve.RemainingTime;
import org.gullsaddle.serve.ReplicaTask;
import org.gullsaddle.suspect.Trait;

/**
 * Accepted request: its contents, the configuration and route it is served under, and its
 * deadline.
 */
final class ServedRequest {

	/** Stands for the team of requests that need no key. */
	static final String NO_TEAM = "none";

	private final HttpServerRequest http;

	private final CallerRequest caller;

	private final FleetConfig config;

	private final Route route;

	private final Optional<Team> team;

	private final Buffer body;

	private final long startedAt;

	private final long deadlineAt;

	private final ServiceName service;

	private Fingerprint contentHash;

	private boolean trial;

	private ServedRequest(Builder builder) {
		this.http = builder.http;
		this.caller = builder.caller;
		this.config = builder.config;
		this.route = builder.route;
		this.team = builder.team;
		this.body = builder.body;
		this.startedAt = builder.startedAt;
		this.service = builder.service;
		long patience = Math.min(this.caller.timeoutMillis().orElse(this.route.timeoutMillis()),
				this.route.timeoutMillis());
		this.deadlineAt = Math.min(this.startedAt + patience, builder.latestAnswerAt);
	}

	static Builder of(HttpServerRequest http) {
		return new Builder(http);
	}

	HttpServerRequest http() {
		return this.http;
	}

	CallerRequest caller() {
		return this.caller;
	}

	FleetConfig config() {
		return this.config;
	}

	Route route() {
		return this.route;
	}

	Optional<TeamId> team() {
		return this.team.map(Team::id);
	}

	String teamName() {
		return this.team.map((each) -> each.id().value()).orElse(NO_TEAM);
	}

	Buffer body() {
		return this.body;
	}

	ServiceName service() {
		return this.service;
	}

	String id() {
		return this.caller.attemptId().orElse("");
	}

	long startedAt() {
		return this.startedAt;
	}

	/**
	 * Returns the time until the deadline of caller, route and node, whichever is first,
	 * in milliseconds.
	 */
	long remainingMillis(long now) {
		return this.deadlineAt - now;
	}

	/**
	 * Returns the time that its caller would have left if it was refused now.
	 */
	RemainingTime timeLeft(long now) {
		return new RemainingTime(remainingMillis(now), this.route.targetMillis() - (now - this.startedAt));
	}

	/**
	 * Returns the engines of its service, empty for a plain service.
	 */
	Optional<EngineSpec> engine() {
		return this.config.findService(this.service).flatMap(ServiceSpec::engine);
	}

	/**
	 * Returns whether it fits the memory of a replica. A larger one would be refused by
	 * every replica, or crash it.
	 */
	boolean fitsReplicaMemory() {
		return engine().map((engine) -> engine.fits(this.caller.prompt().maxTokens())).orElse(true);
	}

	/**
	 * Returns the limits of cold replicas of its service.
	 */
	ColdStart coldStart() {
		return this.config.findService(this.service).map(ServiceSpec::coldStart).orElse(ColdStart.NONE);
	}

	/**
	 * Returns the regions in which its route and its team allow it to run.
	 */
	RegionLimit regionLimit() {
		return this.team.map(Team::limit).orElse(RegionLimit.ANYWHERE).intersect(this.route.limit());
	}

	boolean isStream() {
		return this.route.kind() == RouteKind.STREAM;
	}

	int rank() {
		return this.route.rankFor(this.team.map(Team::rank).orElse(OptionalInt.empty()));
	}

	/**
	 * Returns the task of a replica that runs it.
	 * @param model the model to run, empty for a plain service
	 */
	ReplicaTask task(String model) {
		return engine()
			.map((engine) -> new ReplicaTask(model, this.caller.prompt(), ModelSlowdown.of(model, engine.models()),
					ModelSlowdown.sizeClass(model, engine.models()), engine.cacheTokens(), this.route.targetMillis()))
			.orElseGet(() -> ReplicaTask.plainCall(this.route.targetMillis()));
	}

	/**
	 * Returns the key by which it sticks to a release. The last part of a prompt belongs
	 * to the request or its session, so a request without a session id may still belong
	 * to one.
	 */
	ReleaseKey releaseKey() {
		List<PromptPart> parts = this.caller.prompt().parts();
		if (this.caller.session().isEmpty() && parts.isEmpty()) {
			return new ReleaseKey(id(), false, this.route.name(), this.caller.prompt().inputTokens());
		}
		return new ReleaseKey(this.caller.session().orElseGet(() -> parts.get(parts.size() - 1).id()), true,
				this.route.name(), this.caller.prompt().inputTokens());
	}

	/**
	 * Returns a hash of its team and content, the same for repeats.
	 */
	Fingerprint contentHash() {
		if (this.contentHash == null) {
			this.contentHash = ContentHash.of(teamName(), this.http.method(), this.caller.host(), this.http.uri(),
					this.body);
		}
		return this.contentHash;
	}

	/**
	 * Returns the traits that it shares with requests that have the same prompt parts.
	 * @param model the model that runs it, empty for a plain service
	 */
	List<Trait> partTraits(String model) {
		List<Trait> traits = new ArrayList<>();
		for (String part : this.caller.prompt().sharedPartIds()) {
			traits.add(Trait.part(part));
			traits.add(Trait.part(part, model));
		}
		return traits;
	}

	/**
	 * Returns its traits: those of its prompt parts, and its whole content, which repeats
	 * share.
	 * @param model the model that runs it, empty for a plain service
	 */
	List<Trait> traits(String model) {
		List<Trait> traits = partTraits(model);
		traits.add(Trait.content(contentHash()));
		return traits;
	}

	/**
	 * Marks it as a trial: it may go to one replica although one of its traits is
	 * blocked.
	 */
	void markTrial() {
		this.trial = true;
	}

	/**
	 * Ends its trial: no other replica gets it.
	 */
	void endTrial() {
		this.trial = false;
	}

	/**
	 * Returns whether it may go to one replica although one of its traits is blocked.
	 */
	boolean isTrial() {
		return this.trial;
	}

	/**
	 * Builder of a {@link ServedRequest}.
	 */
	static final class Builder {

		private final HttpServerRequest http;

		private CallerRequest caller;

		private FleetConfig config;

		private Route route;

		private ServiceName service;

		private Optional<Team> team = Optional.empty();

		private Buffer body;

		private long startedAt;

		private long latestAnswerAt;

		private Builder(HttpServerRequest http) {
			this.http = http;
		}

		Builder caller(CallerRequest newCaller, Optional<Team> newTeam) {
			this.caller = newCaller;
			this.team = newTeam;
			return this;
		}

		Builder routing(FleetConfig newConfig, Route newRoute, ServiceName newService) {
			this.config = newConfig;
			this.route = newRoute;
			this.service = newService;
			return this;
		}

		Builder body(Buffer newBody) {
			this.body = newBody;
			return this;
		}

		/**
		 * Sets its time limits.
		 * @param newStartedAt when it arrived, in milliseconds
		 * @param newLatest until when this node can serve it, in milliseconds
		 */
		Builder time(long newStartedAt, long newLatest) {
			this.startedAt = newStartedAt;
			this.latestAnswerAt = newLatest;
			return this;
		}

		ServedRequest build() {
			return new ServedRequest(this);
		}

	}

}
