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
import org.gullsaddle.serve.AnswerKind;
import org.gullsaddle.serve.AttemptEnd;
import org.gullsaddle.serve.ReplicaChoice;
import org.gullsaddle.serve.ReplicaEligibility;
import org.gullsaddle.serve.ReplicaTask;
import org.gullsaddle.serve.RetryPolicy;
import org.gullsaddle.serve.RetryReason;
import org.gullsaddle.serve.SendPermission;

/**
 * Executes one request, from the choice of a replica to the final answer, over one or
 * more attempts.
 */
final class RequestExecution implements Attempt.Listener {

	private final Gateway gateway;

	private final ServedRequest request;

	private final RetryPolicy retryPolicy;

	private final ReplicaChooser replicas;

	private final Set<ReplicaId> tried = new HashSet<>();

	private final AnswerRelay relay;

	private Attempt attempt;

	private final Cascade cascade;

	private final SilentReplicaHandler silentReplicaHandler;

	/** Task of the current or the next attempt. */
	private ReplicaTask task;

	private final StreamTiming timing = new StreamTiming();

	/** Replica of the next attempt, if it is already chosen. */
	private Optional<ReplicaChoice> nextChoice = Optional.empty();

	private int attempts;

	private boolean promptReadRecorded;

	private final RequestPriority priority;

	private boolean done;

	RequestExecution(Gateway gateway, ServedRequest request) {
		this.gateway = gateway;
		this.request = request;
		this.retryPolicy = new RetryPolicy(request.route());
		this.replicas = new ReplicaChooser(gateway, request);
		this.priority = new RequestPriority(gateway.routingState(), request);
		this.cascade = new Cascade(gateway, request, this.retryPolicy, this.priority);
		this.relay = new AnswerRelay(request, gateway, this::onBufferAbort);
		this.silentReplicaHandler = new SilentReplicaHandler(gateway, this, this.retryPolicy, this.replicas,
				this.relay);
	}

	void start() {
		HttpServerResponse response = this.request.http().response();
		response.closeHandler((nothing) -> onCallerLeft());
		response.exceptionHandler((failure) -> onCallerLeft());
		this.gateway.onOpened(this);
		this.gateway.crashes().admit(this.request, model(), () -> runStep(this::admit));
	}

	private void admit() {
		if (this.done) {
			return;
		}
		if (this.replicas.isBlocked(model())) {
			refuseWithoutReplica();
			return;
		}
		this.gateway.retries().onAdmitted(this.request);
		this.priority.onArrival(MonotonicClock.millis());
		startNextAttempt();
	}

	private void startNextAttempt() {
		runStep(this::tryNextAttempt);
	}

	/**
	 * Runs a step without which the request would wait for its deadline.
	 */
	private void runStep(Runnable step) {
		if (!this.gateway.guard().run("request step", step)) {
			onInternalError();
		}
	}

	/**
	 * Ends the request because a step failed in this node.
	 */
	void onInternalError() {
		if (this.done) {
			return;
		}
		if (this.attempt != null && !this.attempt.hasEnded()) {
			withdrawAttempt(RequestDispatcher.INTERNAL_ERROR);
		}
		refuse(RequestDispatcher.INTERNAL_ERROR);
	}

	private void tryNextAttempt() {
		long now = MonotonicClock.millis();
		long remainingMillis = this.request.remainingMillis(now);
		if (remainingMillis <= 0) {
			refuse("no time left");
			return;
		}
		this.task = this.request.task(model());
		if (this.nextChoice.isPresent()) {
			ReplicaChoice choice = this.nextChoice.get();
			this.nextChoice = Optional.empty();
			send(choice, remainingMillis);
			return;
		}
		this.replicas.choose(this.task, this.tried, (choice) -> runStep(() -> onChoice(choice)));
	}

	/**
	 * Sends the request to the chosen replica, unless the request ended meanwhile.
	 */
	private void onChoice(Optional<ReplicaChoice> choice) {
		if (this.done) {
			return;
		}
		long remainingMillis = this.request.remainingMillis(MonotonicClock.millis());
		if (remainingMillis <= 0) {
			refuse("no time left");
		}
		else if (choice.isEmpty()) {
			refuseWithoutReplica();
		}
		else if (this.attempts == 0 && this.replicas.wouldMissDeadline(this.task, choice.get(), remainingMillis)) {
			refuse("would not begin in its time");
		}
		else {
			send(choice.get(), remainingMillis);
		}
	}

	private void refuseWithoutReplica() {
		ReplicaEligibility.NoReplica reason = this.replicas.noReplicaReason(model());
		this.gateway.telemetry().count("no.replica." + reason.name().toLowerCase(Locale.ROOT));
		refuse(reason.reason(), this.replicas.retryAfterMillis(reason, model()));
	}

	private void send(ReplicaChoice choice, long remainingMillis) {
		this.attempts++;
		this.tried.add(choice.replica().id());
		this.promptReadRecorded = false;
		this.timing.begin(MonotonicClock.millis());
		this.gateway.routingState().replicaSelector().onSent(MonotonicClock.millis(), choice, this.task);
		this.replicas.recordSent(choice.replica());
		this.gateway.rollouts().recordSent(choice.replica());
		SendPermission sendPermission = this.replicas.admit(choice.replica());
		Optional<String> lastEvent = this.relay.lastEventId().or(this.request.caller()::lastEventId);
		ForwardingContext context = ForwardingContext.of(this.request, choice.replica().id(), remainingMillis, model(),
				this.priority.recordSent(MonotonicClock.millis(), choice, this.task), lastEvent);
		MultiMap headers = this.gateway.codec().replicaHeaders(this.request.http().headers(), context);
		this.attempt = new Attempt(choice, sendPermission, this.replicas.coldMillis(choice.replica()), id(),
				this.gateway.replicaConnections(), this.gateway.codec(), this);
		this.attempt.send(this.request.http().method(), this.request.http().uri(), headers, this.request.body());
	}

	@Override
	public boolean canStillSend(Attempt from) {
		return this.replicas.canStillSend(from.choice().replica(), from.sendPermission(), model());
	}

	@Override
	public void onAnswer(Attempt from, ReplicaAnswer answer) {
		this.gateway.backpressure().onAnswer(from.choice().replica(), answer);
	}

	@Override
	public void onHead(Attempt from, ReplicaAnswer answer, MultiMap headers) {
		recordPromptRead(from);
		this.gateway.crashes().onHead(from);
		this.gateway.routingState().onAnswerHead(MonotonicClock.millis(), from.choice().replica(), answer);
		this.gateway.rollouts().onAnswer(new AnswerKind(route().name(), model()), from, answer);
		if (answer.isSuccess()) {
			this.gateway.routingState()
				.replicaSelector()
				.recordFirstEventDelay(from.choice(), this.task, from.headAt() - from.startedAt(), true);
		}
		this.relay.onHead(this.gateway.codec().callerHeaders(headers));
		if (this.relay.hasBegun() && !answer.isSuccess()) {
			from.withdraw(new AttemptEnd.Broken("no answer to go on with"));
		}
		else if (answer.isSuccess() && !this.relay.hasBegun() && !this.request.isTrial()) {
			checkConfidence(from, answer);
		}
	}

	/**
	 * Drops an answer of low model confidence and asks a larger model, as long as nothing
	 * of it was sent to the caller. The answer is paused until that is decided.
	 */
	private void checkConfidence(Attempt from, ReplicaAnswer answer) {
		Optional<String> larger = this.cascade.findLargerModel(answer.confidence());
		if (larger.isEmpty()) {
			return;
		}
		from.pause(Attempt.PauseReason.LOW_CONFIDENCE);
		int confidence = answer.confidence().orElse(0);
		this.replicas.choose(this.request.task(larger.get()), Set.of(), (choice) -> {
			if (this.done || from.hasEnded()) {
				return;
			}
			if (this.cascade.decideDrop(confidence, larger.get(), choice,
					this.request.remainingMillis(MonotonicClock.millis()))) {
				this.tried.remove(from.choice().replica().id());
				this.nextChoice = choice;
				from.withdraw(new AttemptEnd.Dropped(confidence));
			}
			else {
				from.resume(Attempt.PauseReason.LOW_CONFIDENCE);
			}
		});
	}

	@Override
	public void onData(Attempt from, Buffer bytes) {
		if (this.done) {
			return;
		}
		this.gateway.routingState().replicaSelector().onBytes(MonotonicClock.millis(), from.choice().replica());
		this.gateway.crashes().onData(this.request, model(), from);
		if (!isStreamed(from)) {
			this.relay.buffer(from, bytes);
		}
		else if (this.relay.relayEvents(from, bytes)) {
			this.timing.onEvent(MonotonicClock.millis(), from.readSince());
		}
		if (this.relay.isTooLarge()) {
			from.withdraw(new AttemptEnd.Broken(isStreamed(from) ? "event too large" : "failure too large"));
		}
	}

	@Override
	public void onEnded(Attempt from, AttemptEnd end) {
		long now = MonotonicClock.millis();
		AttemptEnd counted = end;
		if (end instanceof AttemptEnd.Answered && isStreamed(from) && !this.relay.isAtEventEnd()) {
			counted = new AttemptEnd.Broken("stream ended within an event");
		}
		recordPromptRead(from);
		if (from.answer() == null && !(counted instanceof AttemptEnd.NotRun)) {
			this.gateway.routingState()
				.replicaSelector()
				.recordFirstEventDelay(from.choice(), this.task, now - from.startedAt(), false);
		}
		if (this.request.isStream() && !(counted instanceof AttemptEnd.Dropped)
				&& !(counted instanceof AttemptEnd.NotRun)) {
			this.gateway.routingState().recordStream(route(), model(), this.timing);
		}
		this.priority.onEnded(now, from.choice(), this.task, counted);
		this.retryPolicy.onAttemptEnded(counted);
		this.gateway.onAttemptEnded(this, from, counted, now);
		this.request.endTrial();
		if (this.done) {
			return;
		}
		if (counted instanceof AttemptEnd.Dropped) {
			this.cascade.advance();
			startNextAttempt();
			return;
		}
		if (counted instanceof AttemptEnd.Answered answered
				&& !(answered.hasFailed() && retryIfAllowed(now, counted))) {
			complete(from, answered);
			return;
		}
		if (!(counted instanceof AttemptEnd.Answered) && !retryIfAllowed(now, counted)) {
			refuseAfter(counted);
		}
	}

	/**
	 * Starts another attempt if that is allowed.
	 * @param end how the attempt before it ended
	 * @return whether one was started
	 */
	private boolean retryIfAllowed(long now, AttemptEnd end) {
		if (this.nextChoice.isPresent()) {
			// Chosen, and its retry spent, before the silent replica was left.
			startNextAttempt();
			return true;
		}
		if (!this.retryPolicy.canRetry(this.request.remainingMillis(now))
				|| !this.silentReplicaHandler.canContinueElsewhere()) {
			return false;
		}
		if (!this.replicas.hasUntried(this.tried, model())) {
			return false;
		}
		// An attempt that sent nothing is no load on any replica.
		boolean sentNothing = end instanceof AttemptEnd.NotRun notRun && notRun.unreachable();
		if (!sentNothing && !this.gateway.retries().trySpend(this.request, RetryReason.FAILURE)) {
			return false;
		}
		startNextAttempt();
		return true;
	}

	/**
	 * Leaves a silent replica for another one, for which a retry was already spent.
	 */
	void moveTo(Attempt from, AttemptEnd end, ReplicaChoice to) {
		this.nextChoice = Optional.of(to);
		from.withdraw(end);
	}

	/**
	 * Ends the request with a replica's complete answer. A status by which callers assume
	 * that nothing ran must not reach the caller if the replica did not state that it had
	 * not run the request.
	 */
	private void complete(Attempt from, AttemptEnd.Answered answered) {
		boolean falsePromise = HttpStatuses.promisesNotRun(answered.status()) && route().kind() != RouteKind.IDEMPOTENT;
		if (falsePromise && !this.relay.hasBegun()) {
			this.relay.sendError(HttpStatuses.BAD_GATEWAY, Optional.empty(),
					"the backend server gave no definite answer");
		}
		else {
			this.relay.end(from.answer().status(), this.request.http().method() == HttpMethod.HEAD);
		}
		close(answered.hasFailed() ? "failed" : "served", answered.status(), "answered");
	}

	private void refuseAfter(AttemptEnd end) {
		refuse(end.endReason(), this.replicas.retryAfterMillis(this.replicas.noReplicaReason(model()), model()));
	}

	/**
	 * Ends the request without a replica's answer.
	 */
	private void refuse(String reason) {
		refuse(reason, this.gateway.routingState().retryAfterMillis());
	}

	private void refuse(String reason, long retryAfterMillis) {
		if (this.done) {
			return;
		}
		if (this.relay.hasBegun()) {
			this.relay.abort();
			close("failed", 0, reason);
			return;
		}
		boolean notRun = this.retryPolicy.verdict() == Verdict.NOT_RUN;
		int status = notRun ? HttpStatuses.SERVICE_UNAVAILABLE : HttpStatuses.BAD_GATEWAY;
		Optional<Long> retryAfter = notRun
				? Optional.of(this.gateway.retryAfterAdvisor().retryAfterMillis(this.request, retryAfterMillis))
				: Optional.empty();
		this.relay.sendError(status, retryAfter, reason);
		close(notRun ? "refused" : "failed", status, reason);
	}

	/**
	 * Checks deadline and silence; called several times a second while the request is
	 * open.
	 */
	void tick(long now) {
		if (this.done) {
			return;
		}
		if (this.request.remainingMillis(now) <= 0
				|| (!this.relay.hasBegun() && this.gateway.drainPolicy().shouldAnswerNow(now))) {
			expire();
			return;
		}
		if (this.attempt != null) {
			this.silentReplicaHandler.check(now, this.attempt, this.tried, this.task);
		}
	}

	private void expire() {
		if (this.attempt == null) {
			refuse("deadline");
			return;
		}
		withdrawAttempt("deadline");
		if (!this.relay.hasBegun() && this.retryPolicy.verdict() != Verdict.NOT_RUN) {
			this.relay.sendError(HttpStatuses.GATEWAY_TIMEOUT, Optional.empty(), "deadline");
			close("failed", HttpStatuses.GATEWAY_TIMEOUT, "deadline");
			return;
		}
		refuse("deadline");
	}

	/**
	 * Handles that the caller has closed its connection.
	 */
	private void onCallerLeft() {
		if (this.done) {
			return;
		}
		if (this.attempt != null) {
			withdrawAttempt("caller left");
		}
		close("left", 0, "caller left");
	}

	/**
	 * Handles that no memory is left for what the caller does not read.
	 */
	private void onBufferAbort() {
		if (!this.done) {
			withdrawAttempt("given up for memory");
			refuse("given up for memory");
		}
	}

	/**
	 * Ends the current attempt without starting another one.
	 */
	private void withdrawAttempt(String reason) {
		this.done = true;
		this.attempt.withdraw(new AttemptEnd.Withdrawn(reason));
		this.done = false;
	}

	/**
	 * Aborts the request because the process ends.
	 */
	void abort() {
		onCallerLeft();
		this.request.http().connection().close();
	}

	private void close(String outcome, int status, String reason) {
		this.done = true;
		this.gateway.onClosed(this, outcome, status, reason);
	}

	private void recordPromptRead(Attempt from) {
		if (!this.promptReadRecorded) {
			this.promptReadRecorded = true;
			this.gateway.routingState().replicaSelector().onPromptRead(from.choice(), this.task);
		}
	}

	private boolean isStreamed(Attempt from) {
		return this.request.isStream() && from.answer() != null && from.answer().isSuccess();
	}

	/**
	 * Returns whether an attempt is the current one and has not ended.
	 */
	boolean isWaitingFor(Attempt from) {
		return !this.done && this.attempt == from && !from.hasEnded();
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

	StreamTiming timing() {
		return this.timing;
	}

	ServiceName service() {
		return this.request.service();
	}

	String model() {
		return this.cascade.model();
	}

	DecisionLog.RequestLine requestLine(String outcome, int status, String reason, long now, long age) {
		return new DecisionLog.RequestLine(id(), route().name(), this.request.team().map(TeamId::value).orElse(""),
				this.request.contentHash().toString(), outcome, status, reason, this.retryPolicy.verdict().toString(),
				this.attempts, this.priority.isOverShare(), this.relay.retryAfterMillis(), route().targetMillis(),
				this.request.config().version(), age, now - this.request.startedAt());
	}

}
