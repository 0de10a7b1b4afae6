package org.gullsaddle.route;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.random.RandomGenerator;

import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.Completion;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.base.Refusal;
import org.gullsaddle.base.RefusalReason;
import org.gullsaddle.base.RequestId;
import org.gullsaddle.base.Spread;
import org.gullsaddle.base.Usage;
import org.gullsaddle.base.Verdict;
import org.gullsaddle.clock.Moment;
import org.gullsaddle.rollout.Halt;
import org.gullsaddle.rollout.VersionGuard;
import org.gullsaddle.serve.RetryBudget;
import org.gullsaddle.suspect.SuspectBook;
import org.gullsaddle.suspect.Suspicion;
import org.gullsaddle.template.Template;
import org.gullsaddle.template.TemplateBook;
import org.gullsaddle.template.TemplateRevision;

/**
 * Decides what happens to the requests of an entry. Single-threaded: hand it one event at
 * a time, with the time, and carry out the actions it returns in their order.
 *
 * <pre>
 * Router router = new Router(RouterSettings.in("north", "north-1").build(), random);
 * for (RouterAction action : router.handle(moment, new RouterEvent.Arrived(request))) {
 *     carryOut(action);
 * }
 * </pre>
 */
public final class Router {

	private static final long COME_BACK_MILLIS = 1000;

	private static final long STORE_COME_BACK_MILLIS = 5000;

	private static final long RATER_PAUSE_MILLIS = 5000;

	private final RouterSettings settings;

	private final RandomGenerator random;

	private final TemplateBook templates = new TemplateBook();

	private final QualityTracker quality = new QualityTracker();

	private final VersionGuard guard = new VersionGuard();

	private final Planner planner = new Planner(this.quality, this.guard);

	private final SuspectBook suspects = new SuspectBook();

	private final RetryAfterJitter comeBack;

	private final RequestAdmission gate;

	private final RequestFinisher answers;

	private final SpotChecks spotChecks;

	private final RetryBudget retries;

	private final Balancer balancer;

	private final OpenRequests open = new OpenRequests();

	private final ActionBuffer outbox = new ActionBuffer();

	private long noCascadesUntil = Long.MIN_VALUE;

	/**
	 * Makes a router that knows no template and no agent.
	 * @param settings its settings
	 * @param random the source of every random choice; seed it to replay a run
	 */
	public Router(RouterSettings settings, RandomGenerator random) {
		this.settings = settings;
		this.random = random;
		this.retries = new RetryBudget(settings.retryBudgetRatio());
		this.balancer = new Balancer(settings.region(), settings.dataCenter(), random);
		this.comeBack = new RetryAfterJitter(random);
		this.gate = new RequestAdmission(settings, this.templates, this.suspects, this.comeBack);
		this.spotChecks = new SpotChecks(this.quality, this.guard, settings.spotCheckRatio(), random);
		this.answers = new RequestFinisher(settings, this.open, this.outbox, this.spotChecks);
	}

	/**
	 * Decides on an event.
	 * @param now when it happened
	 * @param event the event
	 * @return what to do, in order
	 */
	public List<RouterAction> handle(Moment now, RouterEvent event) {
		switch (event) {
			case RouterEvent.RequestArrived arrived -> arrived(now, arrived.request());
			case RouterEvent.ClaimCompleted claim -> claimAnswered(now, claim);
			case RouterEvent.PinCompleted pin -> pinAnswered(now, pin);
			case RouterEvent.AgentUp up -> this.balancer.up(up.agent());
			case RouterEvent.AgentLoadReported load -> this.balancer.load(load.agent(), load.load());
			case RouterEvent.AgentLeaving leaving -> this.balancer.leaving(leaving.agent());
			case RouterEvent.AgentDown down -> agentDown(now, down.agent());
			case RouterEvent.AttemptChunk chunk -> chunk(now, chunk);
			case RouterEvent.AttemptDone done -> done(now, done);
			case RouterEvent.AttemptRefused refused -> refused(now, refused);
			case RouterEvent.AttemptFailed failed -> failed(now, failed);
			case RouterEvent.AnswerRated rated -> rated(now, rated);
			case RouterEvent.CallerDisconnected gone -> callerGone(now, gone.request());
			case RouterEvent.TemplateChanged changed -> templateChanged(changed.revision());
			case RouterEvent.HaltAnnounced learned -> this.guard.learn(learned.halt());
			case RouterEvent.FreshnessChanged freshness -> this.gate.setCutOff(freshness.cutOff());
			case RouterEvent.SuspectAnnounced learned -> learn(learned.suspicion());
			case RouterEvent.AttemptAccepted accepted -> this.open.onAttemptAccepted(accepted.attempt());
			case RouterEvent.RecordStored kept -> recordKept(kept.request());
			case RouterEvent.Tick tick -> tick(now);
		}
		return this.outbox.takeAll();
	}

	/**
	 * Returns how many requests are not at their end yet, late ends included.
	 * @return the number
	 */
	public int openRequestCount() {
		return this.open.size();
	}

	/**
	 * Returns what is remembered of crashes, to tell an entry that has just been linked.
	 * @return the suspicions
	 */
	public List<Suspicion> suspects() {
		return this.suspects.all();
	}

	private void arrived(Moment now, IncomingRequest request) {
		Optional<Refusal> refusal = this.gate.check(now, request, this.open.size());
		TemplateRevision revision = this.templates.get(request.template()).orElse(null);
		RequestState state = new RequestState(request, revision, unit(request), now.stamp());
		this.open.add(state);
		if (refusal.isPresent()) {
			this.answers.giveUp(now, state, refusal.get());
			return;
		}
		this.retries.earn();
		this.open.scheduleCheck(request.deadline(), request.id());
		if (request.isRepeatable()) {
			choose(now, state);
			return;
		}
		if (plan(now, state).isEmpty()) {
			this.answers.giveUp(now, state, this.comeBack.notRun(RefusalReason.NO_VERSION, COME_BACK_MILLIS));
			return;
		}
		this.outbox.add(new RouterAction.Claim(request.id(), request.team(), request.idempotencyKey().orElseThrow(),
				request.fingerprint()));
	}

	private void claimAnswered(Moment now, RouterEvent.ClaimCompleted event) {
		RequestState state = this.open.find(event.request());
		if (state == null || state.isAnswered()) {
			// The caller was told "not run" already; the claim must not stay behind.
			if (state != null && event.result() instanceof ClaimResult.Granted) {
				state.markClaimed();
				this.outbox.releaseClaim(state);
			}
			return;
		}
		switch (event.result()) {
			case ClaimResult.Granted granted -> {
				state.markClaimed();
				choose(now, state);
			}
			case ClaimResult.InUse inUse -> this.answers.giveUp(now, state, new Refusal(RefusalReason.KEY_IN_USE,
					Verdict.MAY_HAVE_RUN, this.comeBack.addJitter(COME_BACK_MILLIS)));
			case ClaimResult.Finished finished -> this.answers.replay(now, state, finished.outcome());
			case ClaimResult.ContentDiffers differs ->
				this.answers.giveUp(now, state, Refusal.notRun(RefusalReason.KEY_REUSED, 0));
			case ClaimResult.Unavailable unavailable -> this.answers.giveUp(now, state,
					this.comeBack.notRun(RefusalReason.STORE_UNAVAILABLE, STORE_COME_BACK_MILLIS));
		}
	}

	private void choose(Moment now, RequestState state) {
		if (state.request().session().isEmpty()) {
			Optional<Plan> plan = plan(now, state);
			if (plan.isEmpty()) {
				this.answers.giveUp(now, state, this.comeBack.notRun(RefusalReason.NO_VERSION, COME_BACK_MILLIS));
				return;
			}
			state.plan(plan.get(), false);
			send(now, state);
			return;
		}
		ModelVersion pinned = state.request().pinnedVersion().orElse(null);
		if (pinned != null && state.template().allows(state.team(), pinned, true)) {
			runPinned(now, state, pinned);
			return;
		}
		pin(now, state, pinned);
	}

	private void pin(Moment now, RequestState state, ModelVersion replacing) {
		Optional<Plan> plan = this.planner.planSession(state.template(), state.team(), this.balancer.served(),
				state.spreadUnit());
		if (plan.isEmpty()) {
			this.answers.giveUp(now, state, this.comeBack.notRun(RefusalReason.NO_VERSION, COME_BACK_MILLIS));
			return;
		}
		this.outbox.add(new RouterAction.PinSession(state.id(), state.team(), state.request().template(),
				state.request().session().orElseThrow(), plan.get().stages().get(0), replacing));
	}

	private void pinAnswered(Moment now, RouterEvent.PinCompleted event) {
		RequestState state = this.open.find(event.request());
		if (state == null || state.isAnswered() || state.outstanding() != null) {
			return;
		}
		if (event.version().isEmpty()) {
			// The session may have a version that this entry cannot read now. Taking
			// another
			// would change it in mid-session; a caller with a token does not come here.
			this.answers.giveUp(now, state,
					this.comeBack.notRun(RefusalReason.STORE_UNAVAILABLE, STORE_COME_BACK_MILLIS));
			return;
		}
		refresh(state);
		ModelVersion version = event.version().get();
		if (state.template().allows(state.team(), version, true)) {
			runPinned(now, state, version);
		}
		else if (state.markPinReplaced()) {
			pin(now, state, version);
		}
		else {
			this.answers.giveUp(now, state, this.comeBack.notRun(RefusalReason.NO_VERSION, COME_BACK_MILLIS));
		}
	}

	private void runPinned(Moment now, RequestState state, ModelVersion version) {
		state.plan(new Plan(List.of(version), 0, "session keeps its version"), true);
		send(now, state);
	}

	private Optional<Plan> plan(Moment now, RequestState state) {
		boolean cascades = now.millis() >= this.noCascadesUntil;
		return this.planner.plan(state.template(), state.team(), this.balancer.served(), state.spreadUnit(), cascades,
				this.random.nextDouble());
	}

	/**
	 * Sends the current stage to an agent, under the newest revision known.
	 */
	private void send(Moment now, RequestState state) {
		refresh(state);
		if (!state.template().allows(state.team(), state.version(), state.isPinned())) {
			planAgain(now, state);
			return;
		}
		if (now.millis() >= state.request().deadline()) {
			this.answers.giveUp(now, state, this.comeBack.notRun(RefusalReason.DEADLINE, COME_BACK_MILLIS));
			return;
		}
		IncomingRequest request = state.request();
		if (this.suspects.convicted(request.fingerprint())) {
			this.answers.giveUp(now, state, Refusal.notRun(RefusalReason.POISON, 0));
			return;
		}
		if (this.suspects.suspected(request.fingerprint()) && this.open.hasOutstandingAttempt(request.fingerprint())) {
			// Two copies, each alone on its backend server, would kill two at once.
			this.answers.giveUp(now, state, this.comeBack.notRun(RefusalReason.POISON, COME_BACK_MILLIS));
			return;
		}
		Optional<NodeId> agent = pick(now, state);
		if (agent.isEmpty()) {
			this.answers.giveUp(now, state,
					this.comeBack.notRun(
							state.triedAgents().isEmpty() ? RefusalReason.NO_VERSION : RefusalReason.OVERLOADED,
							COME_BACK_MILLIS));
			return;
		}
		boolean alone = this.suspects.suspected(request.fingerprint());
		AttemptId attempt = state.startAttempt(agent.get(), alone, now.stamp());
		this.balancer.sent(agent.get(), attempt);
		this.outbox.send(state, agent.get(), attempt, alone);
	}

	/**
	 * Picks an agent that the request has not been at. One that refused it before its
	 * answer began may take it by now, and for half an answer there is nothing better.
	 */
	private Optional<NodeId> pick(Moment now, RequestState state) {
		long prefix = state.request().prefixHash();
		Optional<NodeId> agent = this.balancer.pick(now.millis(), state.version(), prefix, state.triedAgents());
		if (agent.isEmpty() && state.isDelivering()) {
			agent = this.balancer.pick(now.millis(), state.version(), prefix, state.failedAgents());
		}
		return agent;
	}

	private void planAgain(Moment now, RequestState state) {
		if (state.isDelivering()) {
			// Half of the answer is out; another version would splice on a different one.
			this.answers.giveUp(now, state, this.comeBack.notRun(RefusalReason.BACKEND_FAILED, COME_BACK_MILLIS));
		}
		else if (state.isPinned()) {
			if (state.markPinReplaced()) {
				pin(now, state, state.version());
			}
			else {
				this.answers.giveUp(now, state, this.comeBack.notRun(RefusalReason.NO_VERSION, COME_BACK_MILLIS));
			}
		}
		else {
			state.receivedText().setLength(0);
			choose(now, state);
		}
	}

	private void chunk(Moment now, RouterEvent.AttemptChunk event) {
		RequestState state = this.open.findByOutstandingAttempt(event.attempt());
		if (state == null || (state.isAnswered() && state.request().isRepeatable())) {
			return;
		}
		if (event.offset() < state.receivedText().length()) {
			return;
		}
		if (event.offset() > state.receivedText().length()) {
			// A part is missing: what follows would be spliced to the wrong place.
			broken(now, state);
			return;
		}
		if (state.receivedText().length() + event.text().length() > this.settings.maxAnswerLength()) {
			if (state.isAnswered()) {
				return;
			}
			this.outbox.cancel(state);
			this.answers.giveUp(now, state, Refusal.notRun(RefusalReason.TOO_LARGE, 0));
			return;
		}
		state.receivedText().append(event.text());
		if (state.isLastStage() && !state.isAnswered()) {
			state.markDelivering();
			this.outbox.add(new RouterAction.Deliver(state.id(), state.version(), event.text()));
		}
	}

	private void done(Moment now, RouterEvent.AttemptDone event) {
		this.balancer.ended(event.attempt());
		RequestState state = this.open.findByOutstandingAttempt(event.attempt());
		if (state == null) {
			return;
		}
		if (!state.isAnswered() && event.length() != state.receivedText().length()) {
			broken(now, state);
			return;
		}
		Completion completion = event.completion();
		long cost = cost(state, completion.usage());
		RequestState.OutstandingAttempt closed = state.closeAttempt(Verdict.RAN, "done", completion.usage(), cost,
				now.stamp());
		this.balancer.succeeded(closed.agent());
		announce(this.guard.ended(state.request().template(), closed.version(), false));
		if (closed.alone()) {
			this.suspects.clear(state.request().fingerprint());
		}
		if (state.isAnswered()) {
			if (event.length() == state.receivedText().length()) {
				this.outbox.completeClaim(state, closed.version(), completion);
			}
			this.answers.writeRecord(state);
		}
		else if (state.isLastStage()) {
			this.answers.complete(now, state, closed.version(), completion, RequestFinisher.SERVED);
		}
		else {
			rate(now, state, event.attempt(), closed.version(), completion);
		}
	}

	private void rate(Moment now, RequestState state, AttemptId attempt, ModelVersion version, Completion completion) {
		state.awaitRating(attempt, completion);
		this.open.scheduleCheck(now.millis() + this.settings.ratingTimeoutMillis(), state.id());
		this.outbox.add(
				new RouterAction.RateAnswer(attempt, version, state.request().body(), state.receivedText().toString()));
	}

	private void rated(Moment now, RouterEvent.AnswerRated event) {
		RequestState state = this.open.find(event.attempt().request());
		if (state == null || !state.isAwaitingRating(event.attempt())) {
			announce(this.spotChecks.onRated(event.attempt(), event.score()));
			return;
		}
		judge(now, state, event.score());
	}

	private void judge(Moment now, RequestState state, OptionalDouble score) {
		state.endRating();
		double bar = state.plan().passThreshold();
		ModelVersion version = state.version();
		if (score.isPresent()) {
			double expected = state.expectedRating(version);
			this.quality.recordRating(state.ratingKey(), expected, score.getAsDouble(), bar);
			announce(this.guard.rated(state.request().template(), version, expected, score.getAsDouble()));
		}
		else {
			this.noCascadesUntil = now.millis() + RATER_PAUSE_MILLIS;
		}
		state.saveFallback();
		if (score.isPresent() && score.getAsDouble() >= bar) {
			this.answers.deliverFallback(now, state, RequestFinisher.SERVED);
			return;
		}
		state.advanceStage();
		send(now, state);
	}

	private void refused(Moment now, RouterEvent.AttemptRefused event) {
		this.balancer.ended(event.attempt());
		RequestState state = this.open.findByOutstandingAttempt(event.attempt());
		if (state == null) {
			return;
		}
		Refusal refusal = event.refusal();
		RequestState.OutstandingAttempt closed = state.closeAttempt(Verdict.NOT_RUN, refusal.reason().toString(),
				Usage.NONE, 0, now.stamp());
		if (refusal.reason() == RefusalReason.LEAVING || refusal.reason() == RefusalReason.STOPPING) {
			this.balancer.leaving(closed.agent());
		}
		if (state.isAnswered()) {
			this.outbox.releaseClaim(state);
			this.answers.writeRecord(state);
		}
		else if (refusal.reason() != RefusalReason.DEADLINE && mayRetry(state, refusal.reason())) {
			send(now, state);
		}
		else {
			this.answers.giveUp(now, state, refusal);
		}
	}

	private boolean mayRetry(RequestState state, RefusalReason reason) {
		if (state.attemptCount() >= this.settings.maxAttempts()) {
			return false;
		}
		return switch (reason) {
			case LEAVING, STOPPING, FORBIDDEN -> true;
			default -> this.retries.spend();
		};
	}

	private void failed(Moment now, RouterEvent.AttemptFailed event) {
		this.balancer.ended(event.attempt());
		RequestState state = this.open.findByOutstandingAttempt(event.attempt());
		if (state == null) {
			return;
		}
		long cost = (state.isAnswered() && !event.crashed()) ? cost(state, event.usage()) : 0;
		RequestState.OutstandingAttempt closed = state.closeAttempt(event.verdict(),
				event.crashed() ? "backend-crashed" : "backend-failed", event.usage(), cost, now.stamp());
		if (!state.isAnswered() && event.verdict() != Verdict.NOT_RUN
				&& this.balancer.failed(now.millis(), closed.agent(), closed.version())) {
			announce(this.guard.ended(state.request().template(), closed.version(), true));
		}
		if (event.crashed()) {
			this.outbox.add(new RouterAction.AnnounceSuspect(
					this.suspects.crashed(state.request().fingerprint(), event.attempt(), closed.alone())));
		}
		if (state.isAnswered()) {
			if (event.verdict() == Verdict.NOT_RUN) {
				this.outbox.releaseClaim(state);
			}
			this.answers.writeRecord(state);
			return;
		}
		if (this.suspects.convicted(state.request().fingerprint())) {
			this.answers.giveUp(now, state, Refusal.notRun(RefusalReason.POISON, 0));
		}
		else if ((state.request().isRepeatable() || event.verdict() == Verdict.NOT_RUN)
				&& mayRetry(state, RefusalReason.BACKEND_FAILED)) {
			if (!state.isDelivering()) {
				state.receivedText().setLength(0);
			}
			send(now, state);
		}
		else {
			this.answers.giveUp(now, state, this.comeBack.notRun(RefusalReason.BACKEND_FAILED, COME_BACK_MILLIS));
		}
	}

	/**
	 * Treats the current attempt's answer as broken off, and has its agent stop it.
	 */
	private void broken(Moment now, RequestState state) {
		if (state.isAnswered()) {
			return;
		}
		AttemptId attempt = state.outstanding().attempt();
		this.outbox.add(new RouterAction.Cancel(state.outstanding().agent(), attempt));
		failed(now, new RouterEvent.AttemptFailed(attempt, Verdict.MAY_HAVE_RUN, false, Usage.NONE));
	}

	private void agentDown(Moment now, NodeId agent) {
		for (AttemptId attempt : this.balancer.down(agent)) {
			// The link tells nothing of what the backend server did; it may be running
			// it.
			failed(now, new RouterEvent.AttemptFailed(attempt, Verdict.MAY_HAVE_RUN, true, Usage.NONE));
		}
	}

	private void templateChanged(TemplateRevision revision) {
		if (this.templates.apply(revision)) {
			this.guard.changed(revision.template().name(), revision.revision());
		}
	}

	private void announce(Optional<Halt> halt) {
		halt.ifPresent((found) -> this.outbox.add(new RouterAction.AnnounceHalt(found)));
	}

	private void learn(Suspicion suspicion) {
		if (this.suspects.learn(suspicion)) {
			// The node that told may have told no other, and may be dying.
			this.outbox.add(new RouterAction.AnnounceSuspect(suspicion));
		}
	}

	private void recordKept(RequestId request) {
		RequestState state = this.open.find(request);
		if (state != null && state.replayedOutcome().isPresent()) {
			this.answers.onRecordStored(state);
		}
	}

	private void callerGone(Moment now, RequestId request) {
		RequestState state = this.open.find(request);
		if (state != null && state.replayedOutcome().isPresent()) {
			this.answers.abandonReplay(now, state, RefusalReason.CALLER_GONE);
			return;
		}
		if (state == null || state.isAnswered()) {
			return;
		}
		this.outbox.cancel(state);
		this.answers.finish(now, state, RefusalReason.CALLER_GONE.toString());
	}

	private void tick(Moment now) {
		for (RequestState state : this.open.takeDue(now.millis())) {
			expire(now, state);
		}
	}

	private void expire(Moment now, RequestState state) {
		if (state.isAnswered()) {
			if (now.millis() >= state.recordDueMillis()) {
				this.answers.writeOverdueRecord(now, state);
			}
		}
		else if (now.millis() >= state.request().deadline()) {
			if (state.isAwaitingRating()) {
				// An unrated answer in time is worth more to the caller than none.
				state.endRating();
				state.saveFallback();
			}
			this.outbox.cancel(state);
			this.answers.giveUp(now, state, this.comeBack.notRun(RefusalReason.DEADLINE, COME_BACK_MILLIS));
		}
		else if (state.isAwaitingRating()) {
			judge(now, state, OptionalDouble.empty());
		}
	}

	private void refresh(RequestState state) {
		this.templates.get(state.request().template())
			.filter((newest) -> newest.template().team(state.team()).isPresent())
			.ifPresent(state::updateRevision);
	}

	private long cost(RequestState state, Usage usage) {
		Template template = state.template();
		return template.rule(state.outstanding().version()).map((rule) -> rule.price().of(usage)).orElse(0L);
	}

	/**
	 * Returns a number from 0 to 1 that is the same for a session's requests at every
	 * entry, so that they agree on a version before the store has been asked.
	 */
	private static double unit(IncomingRequest request) {
		String key = request.session().map((session) -> request.team() + "/" + session).orElse(request.id().value());
		return Spread.unit(key);
	}

}
