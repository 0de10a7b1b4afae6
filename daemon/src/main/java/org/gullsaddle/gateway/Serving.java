package org.gullsaddle.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;

import org.gullsaddle.base.Fingerprint;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.Verdict;
import org.gullsaddle.fleet.EngineSpec;
import org.gullsaddle.fleet.FleetConfig;
import org.gullsaddle.fleet.Replica;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.Route;
import org.gullsaddle.fleet.RouteKind;
import org.gullsaddle.fleet.ServiceName;
import org.gullsaddle.fleet.ServiceSpec;
import org.gullsaddle.fleet.Team;
import org.gullsaddle.serve.AttemptEnd;
import org.gullsaddle.serve.Choice;
import org.gullsaddle.serve.ModelPace;
import org.gullsaddle.serve.PromptPart;
import org.gullsaddle.serve.ReleaseKey;
import org.gullsaddle.serve.RetryRule;
import org.gullsaddle.serve.Task;

/**
 * Serves one request: from its route to its final answer, over one or more attempts.
 */
final class Serving implements Attempt.Listener {

	private final Gateway gateway;

	private final HttpServerRequest request;

	private final CallerRequest caller;

	private final FleetConfig config;

	private final Route route;

	private final Optional<Team> team;

	private final Buffer body;

	private final long startedAt;

	private final long endsAt;

	private final ServiceName service;

	private final RetryRule rule;

	private final Set<ReplicaId> tried = new HashSet<>();

	private final AnswerRelay relay;

	private Attempt attempt;

	private final Cascade cascade;

	private Task task;

	private final StreamClock clock = new StreamClock();

	private int attempts;

	private boolean promptRead;

	private boolean overShare;

	private boolean done;

	private Fingerprint content;

	private Serving(Builder builder) {
		this.gateway = builder.gateway;
		this.request = builder.request;
		this.caller = builder.caller;
		this.config = builder.config;
		this.route = builder.route;
		this.team = builder.team;
		this.body = builder.body;
		this.startedAt = builder.startedAt;
		long patience = this.caller.deadlineMillis().orElse(this.route.timeoutMillis());
		this.endsAt = Math.min(this.startedAt + Math.min(patience, this.route.timeoutMillis()),
				this.gateway.stop().latest(this.route));
		this.service = this.gateway.decisions().service(this.route, id());
		this.rule = new RetryRule(this.route);
		this.cascade = new Cascade(this.gateway.decisions(), this.gateway.log(), this.route, this.rule, this.caller);
		this.relay = new AnswerRelay(this.request, this.gateway);
	}

	static Builder of(Gateway gateway, HttpServerRequest request) {
		return new Builder(gateway, request);
	}

	void start() {
		HttpServerResponse response = this.request.response();
		response.closeHandler((nothing) -> left());
		response.exceptionHandler((failure) -> left());
		this.gateway.opened(this);
		long refusedFor = this.gateway.crashes().refusedFor(this);
		if (refusedFor > 0) {
			refuse("crashes its replicas", refusedFor);
			return;
		}
		this.gateway.decisions().earnRetry();
		if (generation()) {
			noteShare(Clock.millis());
		}
		tryNext();
	}

	private void noteShare(long now) {
		this.team.map(Team::id).ifPresent((id) -> {
			this.gateway.decisions().shares().sent(id, now);
			this.overShare = this.gateway.decisions().shares().over(id, now);
		});
	}

	private void tryNext() {
		long now = Clock.millis();
		long left = this.endsAt - now;
		if (left <= 0) {
			refuse("no time left");
			return;
		}
		List<Replica> usable = this.gateway.fleet().replicas(now, this.service, releaseKey());
		Optional<Choice> choice = this.gateway.decisions().picker().pick(now, usable, this.tried, task(model()));
		if (choice.isEmpty()) {
			refuse(usable.isEmpty() ? "no replica" : "no replica left");
			return;
		}
		send(choice.get(), left);
	}

	private void send(Choice choice, long left) {
		this.attempts++;
		this.tried.add(choice.replica().id());
		this.promptRead = false;
		this.clock.begin(Clock.millis());
		this.task = task(model());
		this.gateway.decisions().picker().sent(Clock.millis(), choice, this.task);
		Optional<String> lastEvent = this.relay.lastEvent().or(this.caller::lastEvent);
		OptionalInt urgency = generation() ? OptionalInt.of(Decisions.urgency(rank(), this.overShare))
				: OptionalInt.empty();
		Handover handover = new Handover(choice.replica().id(), left, this.team.map(Team::id),
				this.route.models().isEmpty() ? "" : model(), urgency, lastEvent);
		MultiMap headers = this.gateway.codec().toReplica(this.request.headers(), handover);
		this.attempt = new Attempt(choice, id(), this.gateway.pool(), this.gateway.codec(), this);
		this.attempt.send(this.request.method(), this.request.uri(), headers, this.body,
				this.route.kind() == RouteKind.ONCE);
	}

	@Override
	public void head(Attempt from, ReplicaAnswer answer, MultiMap headers) {
		readPrompt(from);
		if (answer.success()) {
			this.gateway.decisions().picker().began(from.choice(), this.task, from.headAt() - from.startedAt(), true);
		}
		this.relay.head(this.gateway.codec().toCaller(headers));
		answer.load().ifPresent((load) -> this.gateway.decisions().picker().report(from.choice().replica(), load));
		this.gateway.decisions().picker().heard(Clock.millis(), from.choice().replica());
		if (this.relay.begun() && !answer.success()) {
			from.withdraw(new AttemptEnd.Broken("no answer to go on with"));
		}
		else if (answer.success() && !this.relay.begun()) {
			doubt(from, answer);
		}
	}

	/**
	 * Drops an answer that its model itself doubts, while the caller has none of it, and
	 * asks a larger model.
	 */
	private void doubt(Attempt from, ReplicaAnswer answer) {
		if (this.cascade.drops(answer.confidence(), this::replicaFor, this.endsAt - Clock.millis())) {
			this.tried.remove(from.choice().replica().id());
			from.withdraw(new AttemptEnd.Dropped(answer.confidence().orElse(0)));
		}
	}

	private Optional<Choice> replicaFor(String larger) {
		long now = Clock.millis();
		List<Replica> usable = this.gateway.fleet().replicas(now, this.service, releaseKey());
		return this.gateway.decisions().picker().pick(now, usable, Set.of(), task(larger));
	}

	@Override
	public void data(Attempt from, Buffer bytes) {
		if (this.done) {
			return;
		}
		this.gateway.decisions().picker().heard(Clock.millis(), from.choice().replica());
		if (!streamed(from)) {
			this.relay.hold(from.answer().status(), bytes);
		}
		else if (this.relay.stream(from.answer().status(), bytes)) {
			this.clock.event(Clock.millis());
		}
	}

	@Override
	public void ended(Attempt from, AttemptEnd end) {
		long now = Clock.millis();
		AttemptEnd counted = end;
		if (end instanceof AttemptEnd.Answered && streamed(from) && !this.relay.atEventEnd()) {
			counted = new AttemptEnd.Broken("stream ended within an event");
		}
		readPrompt(from);
		if (from.answer() == null && !(counted instanceof AttemptEnd.NotRun)) {
			this.gateway.decisions().picker().began(from.choice(), this.task, now - from.startedAt(), false);
		}
		if (this.route.kind() == RouteKind.STREAM && !(counted instanceof AttemptEnd.Dropped)
				&& !(counted instanceof AttemptEnd.NotRun)) {
			this.gateway.decisions().streamed(this.route, model(), this.clock);
		}
		this.rule.ended(counted);
		this.gateway.attemptEnded(this, from, counted, now);
		if (this.done) {
			return;
		}
		if (counted instanceof AttemptEnd.Dropped) {
			this.cascade.goOn();
			tryNext();
			return;
		}
		if (counted instanceof AttemptEnd.Answered answered && !(answered.failure() && tryAgain(now))) {
			finish(from, answered);
			return;
		}
		if (!(counted instanceof AttemptEnd.Answered) && !tryAgain(now)) {
			giveUp(counted);
		}
	}

	/**
	 * Tries another replica if that is allowed.
	 */
	private boolean tryAgain(long now) {
		boolean held = !this.relay.begun() || (this.route.resumable() && this.relay.lastEvent().isPresent());
		if (!held || !this.rule.mayTryAgain(this.endsAt - now) || this.gateway.crashes().refusedFor(this) > 0) {
			return false;
		}
		boolean another = this.gateway.fleet()
			.replicas(now, this.service, releaseKey())
			.stream()
			.anyMatch((replica) -> !this.tried.contains(replica.id()));
		if (!another || !this.gateway.decisions().spendRetry()) {
			return false;
		}
		tryNext();
		return true;
	}

	/**
	 * Ends with a replica's whole answer. A refusal status of one that has not said that
	 * it did not run the request must not reach the caller: there it is a promise that
	 * nothing ran.
	 */
	private void finish(Attempt from, AttemptEnd.Answered answered) {
		boolean falsePromise = Statuses.promisesNotRun(answered.status()) && this.route.kind() != RouteKind.IDEMPOTENT;
		if (falsePromise && !this.relay.begun()) {
			this.relay.error(Statuses.BAD_GATEWAY, Optional.empty(), "the backend server gave no definite answer");
		}
		else {
			this.relay.end(from.answer().status(), this.request.method() == HttpMethod.HEAD);
		}
		close(answered.failure() ? "failed" : "served", answered.status(), "answered");
	}

	private void giveUp(AttemptEnd end) {
		String reason = switch (end) {
			case AttemptEnd.NotRun notRun -> notRun.reason();
			case AttemptEnd.Broken broken -> broken.reason();
			case AttemptEnd.Withdrawn withdrawn -> withdrawn.reason();
			case AttemptEnd.Dropped dropped -> "dropped";
			case AttemptEnd.Answered answered -> "answered";
		};
		refuse(reason);
	}

	/**
	 * Ends the request without a replica's answer.
	 */
	private void refuse(String reason) {
		refuse(reason, this.gateway.decisions().comeBackMillis());
	}

	private void refuse(String reason, long comeBackMillis) {
		if (this.done) {
			return;
		}
		if (this.relay.begun()) {
			this.relay.abort();
			close("failed", 0, reason);
			return;
		}
		boolean notRun = this.rule.verdict() == Verdict.NOT_RUN;
		int status = notRun ? Statuses.UNAVAILABLE : Statuses.BAD_GATEWAY;
		Optional<Long> after = notRun ? Optional.of(comeBackMillis) : Optional.empty();
		this.relay.error(status, after, reason);
		close(notRun ? "refused" : "failed", status, reason);
	}

	/**
	 * Is called some times a second while the request is open.
	 */
	void tick(long now) {
		if (this.done) {
			return;
		}
		if (now >= this.endsAt) {
			expire();
			return;
		}
		if (this.attempt != null && silent(now)) {
			this.attempt.withdraw(new AttemptEnd.Broken("silent"));
		}
	}

	/**
	 * A replica that went dark sends nothing, not even a reset. Waiting for it until the
	 * deadline loses the request, though another replica could still answer in time. Only
	 * what may run again is moved. One that answers others is alive, and only busy: moved
	 * away, its queue would be built up anew elsewhere.
	 */
	private boolean silent(long now) {
		if (!this.rule.mayDrop(this.endsAt - now)) {
			return false;
		}
		long patience = this.gateway.decisions().silenceMillis(this.route, this.relay.begun());
		long since = this.gateway.stalls().silentSince(this.attempt.lastByteAt());
		if (this.route.kind() == RouteKind.IDEMPOTENT) {
			return now - since > patience;
		}
		return this.gateway.decisions()
			.picker()
			.dark(now, this.attempt.choice(), since, this.attempt.answer() == null, patience);
	}

	private void expire() {
		if (this.attempt == null) {
			refuse("deadline");
			return;
		}
		withdraw("deadline");
		if (!this.relay.begun() && this.rule.verdict() != Verdict.NOT_RUN) {
			this.relay.error(Statuses.TIMED_OUT, Optional.empty(), "deadline");
			close("failed", Statuses.TIMED_OUT, "deadline");
			return;
		}
		refuse("deadline");
	}

	/**
	 * The caller has closed its connection.
	 */
	private void left() {
		if (this.done) {
			return;
		}
		if (this.attempt != null) {
			withdraw("caller left");
		}
		close("left", 0, "caller left");
	}

	/**
	 * Ends the attempt under way, without another one after it.
	 */
	private void withdraw(String reason) {
		this.done = true;
		this.attempt.withdraw(new AttemptEnd.Withdrawn(reason));
		this.done = false;
	}

	/**
	 * Cuts the request off as the process ends.
	 */
	void cutOff() {
		left();
		this.request.connection().close();
	}

	private void close(String outcome, int status, String reason) {
		this.done = true;
		this.gateway.closed(this, outcome, status, reason);
	}

	private void readPrompt(Attempt from) {
		if (!this.promptRead) {
			this.promptRead = true;
			this.gateway.decisions().picker().promptRead(from.choice(), this.task);
		}
	}

	private boolean streamed(Attempt from) {
		return this.route.kind() == RouteKind.STREAM && from.answer() != null && from.answer().success();
	}

	private boolean generation() {
		return engine().isPresent();
	}

	private Optional<EngineSpec> engine() {
		return this.config.service(this.service).flatMap(ServiceSpec::engine);
	}

	private Task task(String chosen) {
		return engine()
			.map((engine) -> new Task(chosen, this.caller.prompt(), ModelPace.of(chosen, engine.models()),
					engine.cacheTokens(), this.route.targetMillis()))
			.orElseGet(() -> Task.call(this.route.targetMillis()));
	}

	private int rank() {
		return this.route.rank(this.team.map(Team::rank).orElse(OptionalInt.empty()));
	}

	/**
	 * A prompt's last part is its own or its session's, so that one without a session may
	 * still belong to one.
	 */
	private ReleaseKey releaseKey() {
		List<PromptPart> parts = this.caller.prompt().parts();
		if (this.caller.session().isEmpty() && parts.isEmpty()) {
			return new ReleaseKey(id(), false);
		}
		return new ReleaseKey(this.caller.session().orElseGet(() -> parts.get(parts.size() - 1).id()), true);
	}

	String id() {
		return this.caller.attemptId().orElse("");
	}

	/**
	 * Returns a hash of its team and content, the same when it is sent again.
	 */
	Fingerprint content() {
		if (this.content == null) {
			this.content = ContentHash.of(teamName(), this.request.method(), this.caller.host(), this.request.uri(),
					this.body);
		}
		return this.content;
	}

	Route route() {
		return this.route;
	}

	StreamClock clock() {
		return this.clock;
	}

	ServiceName service() {
		return this.service;
	}

	String model() {
		return this.cascade.model();
	}

	DecisionLog.RequestLine line(String outcome, int status, String reason, long now, long age) {
		return new DecisionLog.RequestLine(id(), this.route.name(),
				this.team.map(Team::id).map(TeamId::value).orElse(""), outcome, status, reason,
				this.rule.verdict().toString(), this.attempts, this.overShare, this.route.targetMillis(),
				this.config.version(), age, now - this.startedAt);
	}

	String teamName() {
		return this.team.map((each) -> each.id().value()).orElse("none");
	}

	/**
	 * Collects what a {@link Serving} needs.
	 */
	static final class Builder {

		private final Gateway gateway;

		private final HttpServerRequest request;

		private CallerRequest caller;

		private FleetConfig config;

		private Route route;

		private Optional<Team> team = Optional.empty();

		private Buffer body;

		private long startedAt;

		private Builder(Gateway gateway, HttpServerRequest request) {
			this.gateway = gateway;
			this.request = request;
		}

		Builder caller(CallerRequest newCaller, Optional<Team> newTeam) {
			this.caller = newCaller;
			this.team = newTeam;
			return this;
		}

		Builder under(FleetConfig newConfig, Route newRoute) {
			this.config = newConfig;
			this.route = newRoute;
			return this;
		}

		Builder body(Buffer newBody, long newStartedAt) {
			this.body = newBody;
			this.startedAt = newStartedAt;
			return this;
		}

		Serving build() {
			return new Serving(this);
		}

	}

}
