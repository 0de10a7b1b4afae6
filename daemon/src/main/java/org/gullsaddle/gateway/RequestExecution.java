package org.gullsaddle.gateway;

import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerResponse;

import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.Verdict;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.Route;
import org.gullsaddle.fleet.RouteKind;
import org.gullsaddle.fleet.ServiceName;
import org.gullsaddle.serve.Admission;
import org.gullsaddle.serve.AnswerKind;
import org.gullsaddle.serve.AttemptEnd;
import org.gullsaddle.serve.Choice;
import org.gullsaddle.serve.ReplicaRules;
import org.gullsaddle.serve.RetryRule;
import org.gullsaddle.serve.Task;

/**
 * Serves one request: from its route to its final answer, over one or more attempts.
 */
final class RequestExecution implements Attempt.Listener {

	private final Gateway gateway;

	private final ServedRequest request;

	private final RetryRule rule;

	private final ReplicaChooser replicas;

	private final Set<ReplicaId> tried = new HashSet<>();

	private final AnswerRelay relay;

	private Attempt attempt;

	private final Cascade cascade;

	private final SilentReplicaHandler silence;

	/** What the attempt under way, or the next one, is to do. */
	private Task task;

	private final StreamTiming clock = new StreamTiming();

	/** Where the next attempt goes, if that is decided already. */
	private Optional<Choice> chosen = Optional.empty();

	private int attempts;

	private boolean promptRead;

	private final RequestPriority turn;

	private boolean done;

	RequestExecution(Gateway gateway, ServedRequest request) {
		this.gateway = gateway;
		this.request = request;
		this.rule = new RetryRule(request.route());
		this.replicas = new ReplicaChooser(gateway, request);
		this.turn = new RequestPriority(gateway.decisions(), request);
		this.cascade = new Cascade(gateway, request, this.rule, this.turn);
		this.relay = new AnswerRelay(request, gateway, this::givenUp);
		this.silence = new SilentReplicaHandler(gateway, this, this.rule, this.replicas, this.relay);
	}

	void start() {
		HttpServerResponse response = this.request.http().response();
		response.closeHandler((nothing) -> left());
		response.exceptionHandler((failure) -> left());
		this.gateway.opened(this);
		this.gateway.crashes().ask(this.request, model(), this::begin);
	}

	private void begin() {
		if (this.done) {
			return;
		}
		if (this.replicas.refused(model())) {
			refuseForNone();
			return;
		}
		this.gateway.decisions().earnRetry();
		this.turn.arrived(MonotonicClock.millis());
		tryNext();
	}

	private void tryNext() {
		long now = MonotonicClock.millis();
		long left = this.request.left(now);
		if (left <= 0) {
			refuse("no time left");
			return;
		}
		this.task = this.request.task(model());
		if (this.chosen.isPresent()) {
			Choice choice = this.chosen.get();
			this.chosen = Optional.empty();
			send(choice, left);
			return;
		}
		this.replicas.choose(this.task, this.tried, this::sendTo);
	}

	/**
	 * Sends the request to the replica that was picked, unless it ended meanwhile.
	 */
	private void sendTo(Optional<Choice> choice) {
		if (this.done) {
			return;
		}
		long left = this.request.left(MonotonicClock.millis());
		if (left <= 0) {
			refuse("no time left");
		}
		else if (choice.isEmpty()) {
			refuseForNone();
		}
		else if (this.attempts == 0 && this.replicas.hopeless(this.task, choice.get(), left)) {
			refuse("would not begin in its time");
		}
		else {
			send(choice.get(), left);
		}
	}

	private void refuseForNone() {
		ReplicaRules.NoReplica why = this.replicas.whyNone(model());
		this.gateway.telemetry().count("no.replica." + why.name().toLowerCase(Locale.ROOT));
		refuse(why.reason(), this.replicas.comeBackMillis(why, model()));
	}

	private void send(Choice choice, long left) {
		this.attempts++;
		this.tried.add(choice.replica().id());
		this.promptRead = false;
		this.clock.begin(MonotonicClock.millis());
		this.gateway.decisions().picker().sent(MonotonicClock.millis(), choice, this.task);
		this.replicas.sent(choice.replica());
		this.gateway.rollouts().sent(choice.replica());
		Admission admission = this.replicas.admit(choice.replica());
		Optional<String> lastEvent = this.relay.lastEventId().or(this.request.caller()::lastEventId);
		ForwardingContext handover = ForwardingContext.of(this.request, choice.replica().id(), left, model(),
				this.turn.urgency(MonotonicClock.millis(), choice, this.task), lastEvent);
		MultiMap headers = this.gateway.codec().replicaHeaders(this.request.http().headers(), handover);
		this.attempt = new Attempt(choice, admission, this.replicas.coldMillis(choice.replica()), id(),
				this.gateway.pool(), this.gateway.codec(), this);
		this.attempt.send(this.request.http().method(), this.request.http().uri(), headers, this.request.body(),
				route().kind() == RouteKind.ONCE);
	}

	@Override
	public boolean stillOpen(Attempt from) {
		return this.replicas.stillOpen(from.choice().replica(), from.admission(), model());
	}

	@Override
	public void heard(Attempt from, ReplicaAnswer answer) {
		this.gateway.backpressure().heard(from.choice().replica(), answer);
	}

	@Override
	public void head(Attempt from, ReplicaAnswer answer, MultiMap headers) {
		readPrompt(from);
		this.gateway.crashes().head(from);
		this.gateway.decisions().told(MonotonicClock.millis(), from.choice().replica(), answer);
		this.gateway.rollouts().answered(new AnswerKind(route().name(), model()), from, answer);
		if (answer.isSuccess()) {
			this.gateway.decisions().picker().began(from.choice(), this.task, from.headAt() - from.startedAt(), true);
		}
		this.relay.onHead(this.gateway.codec().callerHeaders(headers));
		if (this.relay.hasBegun() && !answer.isSuccess()) {
			from.withdraw(new AttemptEnd.Broken("no answer to go on with"));
		}
		else if (answer.isSuccess() && !this.relay.hasBegun() && !this.request.isTrial()) {
			doubt(from, answer);
		}
	}

	/**
	 * Drops an answer that its model itself doubts, while the caller has none of it, and
	 * asks a larger model. Until that is decided nothing of the answer goes on.
	 */
	private void doubt(Attempt from, ReplicaAnswer answer) {
		Optional<String> larger = this.cascade.larger(answer.confidence());
		if (larger.isEmpty()) {
			return;
		}
		from.pause(Attempt.PauseReason.DOUBT);
		int confidence = answer.confidence().orElse(0);
		this.replicas.choose(this.request.task(larger.get()), Set.of(), (choice) -> {
			if (this.done || from.ended()) {
				return;
			}
			if (this.cascade.drops(confidence, larger.get(), choice, this.request.left(MonotonicClock.millis()))) {
				this.tried.remove(from.choice().replica().id());
				this.chosen = choice;
				from.withdraw(new AttemptEnd.Dropped(confidence));
			}
			else {
				from.resume(Attempt.PauseReason.DOUBT);
			}
		});
	}

	@Override
	public void data(Attempt from, Buffer bytes) {
		if (this.done) {
			return;
		}
		this.gateway.decisions().picker().heard(MonotonicClock.millis(), from.choice().replica());
		this.gateway.crashes().data(this.request, model(), from);
		if (!streamed(from)) {
			this.relay.buffer(from, bytes);
		}
		else if (this.relay.relayEvents(from, bytes)) {
			this.clock.onEvent(MonotonicClock.millis(), from.readSince());
		}
	}

	@Override
	public void ended(Attempt from, AttemptEnd end) {
		long now = MonotonicClock.millis();
		AttemptEnd counted = end;
		if (end instanceof AttemptEnd.Answered && streamed(from) && !this.relay.isAtEventEnd()) {
			counted = new AttemptEnd.Broken("stream ended within an event");
		}
		readPrompt(from);
		if (from.answer() == null && !(counted instanceof AttemptEnd.NotRun)) {
			this.gateway.decisions().picker().began(from.choice(), this.task, now - from.startedAt(), false);
		}
		if (this.request.stream() && !(counted instanceof AttemptEnd.Dropped)
				&& !(counted instanceof AttemptEnd.NotRun)) {
			this.gateway.decisions().streamed(route(), model(), this.clock);
		}
		this.turn.ended(now, from.choice(), this.task, counted);
		this.rule.ended(counted);
		this.gateway.attemptEnded(this, from, counted, now);
		this.request.tried();
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
		if (this.chosen.isPresent()) {
			// It was chosen and paid for before the silent replica was left.
			tryNext();
			return true;
		}
		if (!this.rule.mayTryAgain(this.request.left(now)) || !this.silence.mayGoOn()) {
			return false;
		}
		if (!this.replicas.another(this.tried, model()) || !this.gateway.decisions().spendRetry()) {
			return false;
		}
		tryNext();
		return true;
	}

	/**
	 * Leaves a silent replica for another one, which was paid for.
	 */
	void move(Attempt from, AttemptEnd end, Choice to) {
		this.chosen = Optional.of(to);
		from.withdraw(end);
	}

	/**
	 * Ends with a replica's whole answer. A refusal status of one that has not said that
	 * it did not run the request must not reach the caller: there it is a promise that
	 * nothing ran.
	 */
	private void finish(Attempt from, AttemptEnd.Answered answered) {
		boolean falsePromise = HttpStatuses.promisesNotRun(answered.status()) && route().kind() != RouteKind.IDEMPOTENT;
		if (falsePromise && !this.relay.hasBegun()) {
			this.relay.sendError(HttpStatuses.BAD_GATEWAY, Optional.empty(),
					"the backend server gave no definite answer");
		}
		else {
			this.relay.end(from.answer().status(), this.request.http().method() == HttpMethod.HEAD);
		}
		close(answered.failure() ? "failed" : "served", answered.status(), "answered");
	}

	private void giveUp(AttemptEnd end) {
		refuse(end.why(), this.replicas.comeBackMillis(this.replicas.whyNone(model()), model()));
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
		if (this.relay.hasBegun()) {
			this.relay.abort();
			close("failed", 0, reason);
			return;
		}
		boolean notRun = this.rule.verdict() == Verdict.NOT_RUN;
		int status = notRun ? HttpStatuses.SERVICE_UNAVAILABLE : HttpStatuses.BAD_GATEWAY;
		Optional<Long> after = notRun ? Optional.of(this.gateway.returns().backMillis(this.request, comeBackMillis))
				: Optional.empty();
		this.relay.sendError(status, after, reason);
		close(notRun ? "refused" : "failed", status, reason);
	}

	/**
	 * Is called some times a second while the request is open.
	 */
	void tick(long now) {
		if (this.done) {
			return;
		}
		if (this.request.left(now) <= 0 || (!this.relay.hasBegun() && this.gateway.stop().shouldAnswerNow(now))) {
			expire();
			return;
		}
		if (this.attempt != null) {
			this.silence.look(now, this.attempt, this.tried, this.task);
		}
	}

	private void expire() {
		if (this.attempt == null) {
			refuse("deadline");
			return;
		}
		withdraw("deadline");
		if (!this.relay.hasBegun() && this.rule.verdict() != Verdict.NOT_RUN) {
			this.relay.sendError(HttpStatuses.GATEWAY_TIMEOUT, Optional.empty(), "deadline");
			close("failed", HttpStatuses.GATEWAY_TIMEOUT, "deadline");
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
	 * There is no memory left for what the caller does not read.
	 */
	private void givenUp() {
		if (!this.done) {
			withdraw("given up for memory");
			refuse("given up for memory");
		}
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
		this.request.http().connection().close();
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
		return this.request.stream() && from.answer() != null && from.answer().isSuccess();
	}

	/**
	 * Says whether an attempt is under way and its answer still waited for.
	 */
	boolean waitsFor(Attempt from) {
		return !this.done && this.attempt == from && !from.ended();
	}

	String id() {
		return this.request.id();
	}

	ServedRequest request() {
		return this.request;
	}

	Route route() {
		return this.request.route();
	}

	StreamTiming clock() {
		return this.clock;
	}

	ServiceName service() {
		return this.request.service();
	}

	String model() {
		return this.cascade.model();
	}

	DecisionLog.RequestLine line(String outcome, int status, String reason, long now, long age) {
		return new DecisionLog.RequestLine(id(), route().name(), this.request.team().map(TeamId::value).orElse(""),
				this.request.content().toString(), outcome, status, reason, this.rule.verdict().toString(),
				this.attempts, this.turn.over(), this.relay.retryAfterMillis(), route().targetMillis(),
				this.request.config().version(), age, now - this.request.startedAt());
	}

}
