package org.gullsaddle.route;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.random.RandomGenerator;

import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.Completion;
import org.gullsaddle.base.KeyHash;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.base.Refusal;
import org.gullsaddle.base.RefusalReason;
import org.gullsaddle.base.RequestId;
import org.gullsaddle.base.Usage;
import org.gullsaddle.base.Verdict;
import org.gullsaddle.clock.Moment;
import org.gullsaddle.rollout.Halt;
import org.gullsaddle.rollout.VersionGuard;
import org.gullsaddle.serve.RetryBudget;
import org.gullsaddle.suspect.SuspectContent;
import org.gullsaddle.suspect.SuspectTracker;
import org.gullsaddle.template.Template;
import org.gullsaddle.template.TemplateRevision;
import org.gullsaddle.template.TemplateTable;

/**
 * Decides what happens to the requests of an entry. Not thread-safe. The actions that
 * {@link #handle} returns are to be carried out in order.
 *
 * <pre>
 * Router router = new Router(RouterSettings.builder("north", "north-1").build(), random);
 * for (RouterAction action : router.handle(now, new RouterEvent.RequestArrived(request))) {
 *     carryOut(action);
 * }
 * </pre>
 */
public final class Router {

	private static final long RETRY_AFTER_MILLIS = 1000;

	private static final long STORE_RETRY_AFTER_MILLIS = 5000;

	private static final long CASCADE_PAUSE_MILLIS = 5000;

	private final RouterSettings settings;

	private final RandomGenerator random;

	private final TemplateTable templates = new TemplateTable();

	private final QualityTracker quality = new QualityTracker();

	private final VersionGuard versionGuard = new VersionGuard();

	private final Planner planner = new Planner(this.quality, this.versionGuard);

	private final SuspectTracker suspects = new SuspectTracker();

	private final RetryAfterJitter retryAfter;

	private final RequestAdmission admission;

	private final RequestFinisher finisher;

	private final SpotChecks spotChecks;

	private final RetryBudget retryBudget;

	private final LoadBalancer balancer;

	private final OpenRequests openRequests = new OpenRequests();

	private final ActionBuffer actions = new ActionBuffer();

	private long cascadesPausedUntilMillis = Long.MIN_VALUE;

	/**
	 * Creates a router that knows no templates and no agents.
	 * @param settings the settings
	 * @param random the source of every random choice; seed it to replay a run
	 */
	public Router(RouterSettings settings, RandomGenerator random) {
		this.settings = settings;
		this.random = random;
		this.retryBudget = new RetryBudget(settings.retryLimits());
		this.balancer = new LoadBalancer(settings.region(), settings.dataCenter(), random);
		this.retryAfter = new RetryAfterJitter(random);
		this.admission = new RequestAdmission(settings, this.templates, this.suspects, this.retryAfter);
		this.spotChecks = new SpotChecks(this.quality, this.versionGuard, settings.spotCheckRatio(), random);
		this.finisher = new RequestFinisher(settings, this.openRequests, this.actions, this.spotChecks);
	}

	/**
	 * Handles an event.
	 * @param now when the event happened
	 * @param event the event
	 * @return the actions to carry out, in order
	 */
	public List<RouterAction> handle(Moment now, RouterEvent event) {
		switch (event) {
			case RouterEvent.RequestArrived arrived -> onRequestArrived(now, arrived.request());
			case RouterEvent.ClaimCompleted claim -> onClaimCompleted(now, claim);
			case RouterEvent.PinCompleted pin -> onPinCompleted(now, pin);
			case RouterEvent.AgentUp up -> this.balancer.onAgentUp(up.agent());
			case RouterEvent.AgentLoadReported load -> this.balancer.onLoadReport(load.agent(), load.load());
			case RouterEvent.AgentLeaving leaving -> this.balancer.onAgentLeaving(leaving.agent());
			case RouterEvent.AgentDown down -> onAgentDown(now, down.agent());
			case RouterEvent.AttemptChunk chunk -> onAttemptChunk(now, chunk);
			case RouterEvent.AttemptDone done -> onAttemptDone(now, done);
			case RouterEvent.AttemptRefused refused -> onAttemptRefused(now, refused);
			case RouterEvent.AttemptFailed failed -> onAttemptFailed(now, failed);
			case RouterEvent.AnswerRated rated -> onAnswerRated(now, rated);
			case RouterEvent.CallerDisconnected caller -> onCallerDisconnected(now, caller.request());
			case RouterEvent.TemplateChanged changed -> onTemplateChanged(changed.revision());
			case RouterEvent.HaltAnnounced announced -> this.versionGuard.onHalt(announced.halt());
			case RouterEvent.FreshnessChanged freshness -> this.admission.setCutOff(freshness.cutOff());
			case RouterEvent.SuspectAnnounced announced -> onSuspectAnnounced(announced.suspicion());
			case RouterEvent.AttemptAccepted accepted -> this.openRequests.onAttemptAccepted(accepted.attempt());
			case RouterEvent.RecordStored stored -> onRecordStored(stored.request());
			case RouterEvent.Tick tick -> onTick(now);
		}
		return this.actions.takeAll();
	}

	/**
	 * Returns the number of requests whose record is not written yet.
	 * @return the number of requests
	 */
	public int openRequestCount() {
		return this.openRequests.size();
	}

	/**
	 * Returns the known crash suspicions, to be sent to an entry that has just connected.
	 * @return the suspicions
	 */
	public List<SuspectContent> suspects() {
		return this.suspects.suspects();
	}

	private void onRequestArrived(Moment now, IncomingRequest request) {
		Optional<Refusal> refusal = this.admission.check(now, request, this.openRequests.size());
		TemplateRevision revision = this.templates.find(request.template()).orElse(null);
		RequestState state = new RequestState(request, revision, spreadUnit(request), now.stamp());
		this.openRequests.add(state);
		if (refusal.isPresent()) {
			this.finisher.giveUp(now, state, refusal.get());
			return;
		}
		this.retryBudget.earn(now.millis());
		this.openRequests.scheduleCheck(request.deadline(), request.id());
		if (request.isRepeatable()) {
			planAndSend(now, state);
			return;
		}
		if (choosePlan(now, state).isEmpty()) {
			this.finisher.giveUp(now, state, this.retryAfter.notRun(RefusalReason.NO_VERSION, RETRY_AFTER_MILLIS));
			return;
		}
		this.actions.add(new RouterAction.Claim(request.id(), request.team(), request.idempotencyKey().orElseThrow(),
				request.fingerprint()));
	}

	private void onClaimCompleted(Moment now, RouterEvent.ClaimCompleted event) {
		RequestState state = this.openRequests.find(event.request());
		if (state == null || state.isAnswered()) {
			// The caller was already told "not run", so the claim is released.
			if (state != null && event.result() instanceof ClaimResult.Granted) {
				state.markClaimed();
				this.actions.releaseClaim(state);
			}
			return;
		}
		switch (event.result()) {
			case ClaimResult.Granted granted -> {
				state.markClaimed();
				planAndSend(now, state);
			}
			case ClaimResult.InUse inUse -> this.finisher.giveUp(now, state, new Refusal(RefusalReason.KEY_IN_USE,
					Verdict.MAY_HAVE_RUN, this.retryAfter.addJitter(RETRY_AFTER_MILLIS)));
			case ClaimResult.Finished finished -> this.finisher.replay(now, state, finished.outcome());
			case ClaimResult.ContentDiffers differs ->
				this.finisher.giveUp(now, state, Refusal.notRun(RefusalReason.KEY_REUSED, 0));
			case ClaimResult.Unavailable unavailable -> this.finisher.giveUp(now, state,
					this.retryAfter.notRun(RefusalReason.STORE_UNAVAILABLE, STORE_RETRY_AFTER_MILLIS));
		}
	}

	private void planAndSend(Moment now, RequestState state) {
		if (state.request().session().isEmpty()) {
			Optional<Plan> plan = choosePlan(now, state);
			if (plan.isEmpty()) {
				this.finisher.giveUp(now, state, this.retryAfter.notRun(RefusalReason.NO_VERSION, RETRY_AFTER_MILLIS));
				return;
			}
			state.plan(plan.get(), false);
			sendStage(now, state);
			return;
		}
		ModelVersion pinned = state.request().pinnedVersion().orElse(null);
		if (pinned != null && state.template().allows(state.team(), pinned, true)) {
			sendPinned(now, state, pinned);
			return;
		}
		requestPin(now, state, pinned);
	}

	private void requestPin(Moment now, RequestState state, ModelVersion replacing) {
		Optional<Plan> plan = this.planner.planSession(state.template(), state.team(), this.balancer.servedVersions(),
				state.spreadUnit());
		if (plan.isEmpty()) {
			this.finisher.giveUp(now, state, this.retryAfter.notRun(RefusalReason.NO_VERSION, RETRY_AFTER_MILLIS));
			return;
		}
		this.actions.add(new RouterAction.PinSession(state.id(), state.team(), state.request().template(),
				state.request().session().orElseThrow(), plan.get().stages().get(0), replacing));
	}

	private void onPinCompleted(Moment now, RouterEvent.PinCompleted event) {
		RequestState state = this.openRequests.find(event.request());
		if (state == null || state.isAnswered() || state.outstanding() != null) {
			return;
		}
		if (event.version().isEmpty()) {
			// The session may have a version that this entry cannot read now, and must
			// not change. Requests with a session token do not come here.
			this.finisher.giveUp(now, state,
					this.retryAfter.notRun(RefusalReason.STORE_UNAVAILABLE, STORE_RETRY_AFTER_MILLIS));
			return;
		}
		updateRevision(state);
		ModelVersion version = event.version().get();
		if (state.template().allows(state.team(), version, true)) {
			sendPinned(now, state, version);
		}
		else if (state.markPinReplaced()) {
			requestPin(now, state, version);
		}
		else {
			this.finisher.giveUp(now, state, this.retryAfter.notRun(RefusalReason.NO_VERSION, RETRY_AFTER_MILLIS));
		}
	}

	private void sendPinned(Moment now, RequestState state, ModelVersion version) {
		state.plan(new Plan(List.of(version), 0, "session keeps its version"), true);
		sendStage(now, state);
	}

	private Optional<Plan> choosePlan(Moment now, RequestState state) {
		boolean cascades = now.millis() >= this.cascadesPausedUntilMillis;
		return this.planner.plan(state.template(), state.team(), this.balancer.servedVersions(), state.spreadUnit(),
				cascades, this.random.nextDouble());
	}

	/**
	 * Sends the current stage to an agent, under the newest known template revision.
	 */
	private void sendStage(Moment now, RequestState state) {
		updateRevision(state);
		if (!state.template().allows(state.team(), state.version(), state.isPinned())) {
			replan(now, state);
			return;
		}
		if (now.millis() >= state.request().deadline()) {
			this.finisher.giveUp(now, state, this.retryAfter.notRun(RefusalReason.DEADLINE, RETRY_AFTER_MILLIS));
			return;
		}
		IncomingRequest request = state.request();
		if (this.suspects.isBlocked(request.fingerprint())) {
			this.finisher.giveUp(now, state, Refusal.notRun(RefusalReason.POISON, 0));
			return;
		}
		if (this.suspects.isSuspect(request.fingerprint()) && this.openRequests.isRunning(request.fingerprint())) {
			// Two copies, each alone on its backend server, could crash two at once.
			this.finisher.giveUp(now, state, this.retryAfter.notRun(RefusalReason.POISON, RETRY_AFTER_MILLIS));
			return;
		}
		Optional<NodeId> agent = chooseAgent(now, state);
		if (agent.isEmpty()) {
			this.finisher.giveUp(now, state,
					this.retryAfter.notRun(
							state.triedAgents().isEmpty() ? RefusalReason.NO_VERSION : RefusalReason.OVERLOADED,
							RETRY_AFTER_MILLIS));
			return;
		}
		boolean alone = this.suspects.isSuspect(request.fingerprint());
		AttemptId attempt = state.startAttempt(agent.get(), alone, now.stamp());
		this.balancer.onAttemptSent(agent.get(), attempt);
		this.actions.send(state, agent.get(), attempt, alone);
	}

	/**
	 * Chooses an agent not tried for this stage yet. To resume a partly delivered answer,
	 * which must stay on its version, agents that refused it are tried again if no other
	 * is left, as they may accept it now.
	 */
	private Optional<NodeId> chooseAgent(Moment now, RequestState state) {
		long prefix = state.request().prefixHash();
		Optional<NodeId> agent = this.balancer.chooseAgent(now.millis(), state.version(), prefix, state.triedAgents());
		if (agent.isEmpty() && state.isDelivering()) {
			agent = this.balancer.chooseAgent(now.millis(), state.version(), prefix, state.failedAgents());
		}
		return agent;
	}

	private void replan(Moment now, RequestState state) {
		if (state.isDelivering()) {
			// Another version would continue the delivered text with another answer.
			this.finisher.giveUp(now, state, this.retryAfter.notRun(RefusalReason.BACKEND_FAILED, RETRY_AFTER_MILLIS));
		}
		else if (state.isPinned()) {
			if (state.markPinReplaced()) {
				requestPin(now, state, state.version());
			}
			else {
				this.finisher.giveUp(now, state, this.retryAfter.notRun(RefusalReason.NO_VERSION, RETRY_AFTER_MILLIS));
			}
		}
		else {
			state.receivedText().setLength(0);
			planAndSend(now, state);
		}
	}

	private void onAttemptChunk(Moment now, RouterEvent.AttemptChunk event) {
		RequestState state = this.openRequests.findByOutstandingAttempt(event.attempt());
		if (state == null || (state.isAnswered() && state.request().isRepeatable())) {
			return;
		}
		if (event.offset() < state.receivedText().length()) {
			return;
		}
		if (event.offset() > state.receivedText().length()) {
			// A chunk is missing: the text would be appended at the wrong offset.
			failAndCancelAttempt(now, state);
			return;
		}
		if (state.receivedText().length() + event.text().length() > this.settings.maxAnswerLength()) {
			if (state.isAnswered()) {
				return;
			}
			this.actions.cancel(state);
			this.finisher.giveUp(now, state, Refusal.notRun(RefusalReason.TOO_LARGE, 0));
			return;
		}
		state.receivedText().append(event.text());
		if (state.isLastStage() && !state.isAnswered()) {
			state.markDelivering();
			this.actions.add(new RouterAction.Deliver(state.id(), state.version(), event.text()));
		}
	}

	private void onAttemptDone(Moment now, RouterEvent.AttemptDone event) {
		this.balancer.onAttemptEnded(event.attempt());
		RequestState state = this.openRequests.findByOutstandingAttempt(event.attempt());
		if (state == null) {
			return;
		}
		if (!state.isAnswered() && event.length() != state.receivedText().length()) {
			failAndCancelAttempt(now, state);
			return;
		}
		Completion completion = event.completion();
		long cost = costMicros(state, completion.usage());
		RequestState.SentAttempt ended = state.closeAttempt(Verdict.RAN, "done", completion.usage(), cost, now.stamp());
		this.balancer.recordSuccess(ended.agent());
		announceHalt(this.versionGuard.onAttemptEnd(state.request().template(), ended.version(), false));
		if (ended.alone()) {
			this.suspects.clear(state.request().fingerprint());
		}
		if (state.isAnswered()) {
			if (event.length() == state.receivedText().length()) {
				this.actions.completeClaim(state, ended.version(), completion);
			}
			this.finisher.writeRecord(state);
		}
		else if (state.isLastStage()) {
			this.finisher.complete(now, state, ended.version(), completion, RequestFinisher.SERVED);
		}
		else {
			requestRating(now, state, event.attempt(), ended.version(), completion);
		}
	}

	private void requestRating(Moment now, RequestState state, AttemptId attempt, ModelVersion version,
			Completion completion) {
		state.awaitRating(attempt, completion);
		this.openRequests.scheduleCheck(now.millis() + this.settings.ratingTimeoutMillis(), state.id());
		this.actions.add(
				new RouterAction.RateAnswer(attempt, version, state.request().body(), state.receivedText().toString()));
	}

	private void onAnswerRated(Moment now, RouterEvent.AnswerRated event) {
		RequestState state = this.openRequests.find(event.attempt().request());
		if (state == null || !state.isAwaitingRating(event.attempt())) {
			announceHalt(this.spotChecks.onRated(event.attempt(), event.score()));
			return;
		}
		decideOnRating(now, state, event.score());
	}

	private void decideOnRating(Moment now, RequestState state, OptionalDouble score) {
		state.endRating();
		double threshold = state.plan().passThreshold();
		ModelVersion version = state.version();
		if (score.isPresent()) {
			double expected = state.expectedRating(version);
			this.quality.recordRating(state.ratingKey(), expected, score.getAsDouble(), threshold);
			announceHalt(
					this.versionGuard.onRating(state.request().template(), version, expected, score.getAsDouble()));
		}
		else {
			this.cascadesPausedUntilMillis = now.millis() + CASCADE_PAUSE_MILLIS;
		}
		state.saveFallback();
		if (score.isPresent() && score.getAsDouble() >= threshold) {
			this.finisher.deliverFallback(now, state, RequestFinisher.SERVED);
			return;
		}
		state.advanceStage();
		sendStage(now, state);
	}

	private void onAttemptRefused(Moment now, RouterEvent.AttemptRefused event) {
		this.balancer.onAttemptEnded(event.attempt());
		RequestState state = this.openRequests.findByOutstandingAttempt(event.attempt());
		if (state == null) {
			return;
		}
		Refusal refusal = event.refusal();
		RequestState.SentAttempt closed = state.closeAttempt(Verdict.NOT_RUN, refusal.reason().toString(), Usage.NONE,
				0, now.stamp());
		if (refusal.reason() == RefusalReason.LEAVING || refusal.reason() == RefusalReason.STOPPING) {
			this.balancer.onAgentLeaving(closed.agent());
		}
		if (state.isAnswered()) {
			this.actions.releaseClaim(state);
			this.finisher.writeRecord(state);
		}
		else if (refusal.reason() != RefusalReason.DEADLINE && takeRetry(now, state, refusal.reason())) {
			sendStage(now, state);
		}
		else {
			this.finisher.giveUp(now, state, refusal);
		}
	}

	private boolean takeRetry(Moment now, RequestState state, RefusalReason reason) {
		if (state.attemptCount() >= this.settings.maxAttempts()) {
			return false;
		}
		return switch (reason) {
			case LEAVING, STOPPING, FORBIDDEN -> true;
			default -> this.retryBudget.trySpend(now.millis(), 0);
		};
	}

	private void onAttemptFailed(Moment now, RouterEvent.AttemptFailed event) {
		this.balancer.onAttemptEnded(event.attempt());
		RequestState state = this.openRequests.findByOutstandingAttempt(event.attempt());
		if (state == null) {
			return;
		}
		long cost = (state.isAnswered() && !event.crashed()) ? costMicros(state, event.usage()) : 0;
		RequestState.SentAttempt closed = state.closeAttempt(event.verdict(),
				event.crashed() ? "backend-crashed" : "backend-failed", event.usage(), cost, now.stamp());
		if (!state.isAnswered() && event.verdict() != Verdict.NOT_RUN
				&& this.balancer.recordFailure(now.millis(), closed.agent(), closed.version())) {
			announceHalt(this.versionGuard.onAttemptEnd(state.request().template(), closed.version(), true));
		}
		if (event.crashed()) {
			this.actions.add(new RouterAction.AnnounceSuspect(
					this.suspects.onCrash(state.request().fingerprint(), event.attempt(), closed.alone())));
		}
		if (state.isAnswered()) {
			if (event.verdict() == Verdict.NOT_RUN) {
				this.actions.releaseClaim(state);
			}
			this.finisher.writeRecord(state);
			return;
		}
		if (this.suspects.isBlocked(state.request().fingerprint())) {
			this.finisher.giveUp(now, state, Refusal.notRun(RefusalReason.POISON, 0));
		}
		else if ((state.request().isRepeatable() || event.verdict() == Verdict.NOT_RUN)
				&& takeRetry(now, state, RefusalReason.BACKEND_FAILED)) {
			if (!state.isDelivering()) {
				state.receivedText().setLength(0);
			}
			sendStage(now, state);
		}
		else {
			this.finisher.giveUp(now, state, this.retryAfter.notRun(RefusalReason.BACKEND_FAILED, RETRY_AFTER_MILLIS));
		}
	}

	private void failAndCancelAttempt(Moment now, RequestState state) {
		if (state.isAnswered()) {
			return;
		}
		AttemptId attempt = state.outstanding().attempt();
		this.actions.add(new RouterAction.Cancel(state.outstanding().agent(), attempt));
		onAttemptFailed(now, new RouterEvent.AttemptFailed(attempt, Verdict.MAY_HAVE_RUN, false, Usage.NONE));
	}

	private void onAgentDown(Moment now, NodeId agent) {
		for (AttemptId attempt : this.balancer.onAgentDown(agent)) {
			// The backend server may still be running the attempt.
			onAttemptFailed(now, new RouterEvent.AttemptFailed(attempt, Verdict.MAY_HAVE_RUN, true, Usage.NONE));
		}
	}

	private void onTemplateChanged(TemplateRevision revision) {
		if (this.templates.apply(revision)) {
			this.versionGuard.onTemplateChange(revision.template().name(), revision.revision());
		}
	}

	private void announceHalt(Optional<Halt> halt) {
		halt.ifPresent((found) -> this.actions.add(new RouterAction.AnnounceHalt(found)));
	}

	private void onSuspectAnnounced(SuspectContent suspicion) {
		if (this.suspects.merge(suspicion)) {
			// The sender may fail before it has announced it to any other node.
			this.actions.add(new RouterAction.AnnounceSuspect(suspicion));
		}
	}

	private void onRecordStored(RequestId request) {
		RequestState state = this.openRequests.find(request);
		if (state != null && state.replayedOutcome().isPresent()) {
			this.finisher.onRecordStored(state);
		}
	}

	private void onCallerDisconnected(Moment now, RequestId request) {
		RequestState state = this.openRequests.find(request);
		if (state != null && state.replayedOutcome().isPresent()) {
			this.finisher.abandonReplay(now, state, RefusalReason.CALLER_GONE);
			return;
		}
		if (state == null || state.isAnswered()) {
			return;
		}
		this.actions.cancel(state);
		this.finisher.finish(now, state, RefusalReason.CALLER_GONE.toString());
	}

	private void onTick(Moment now) {
		for (RequestState state : this.openRequests.takeDue(now.millis())) {
			onTimer(now, state);
		}
	}

	private void onTimer(Moment now, RequestState state) {
		if (state.isAnswered()) {
			if (now.millis() >= state.recordDueMillis()) {
				this.finisher.writeOverdueRecord(now, state);
			}
		}
		else if (now.millis() >= state.request().deadline()) {
			if (state.isAwaitingRating()) {
				// An answer without a rating is worth more to the caller than none.
				state.endRating();
				state.saveFallback();
			}
			this.actions.cancel(state);
			this.finisher.giveUp(now, state, this.retryAfter.notRun(RefusalReason.DEADLINE, RETRY_AFTER_MILLIS));
		}
		else if (state.isAwaitingRating()) {
			decideOnRating(now, state, OptionalDouble.empty());
		}
	}

	private void updateRevision(RequestState state) {
		this.templates.find(state.request().template())
			.filter((newest) -> newest.template().findTeam(state.team()).isPresent())
			.ifPresent(state::updateRevision);
	}

	private long costMicros(RequestState state, Usage usage) {
		Template template = state.template();
		return template.findRule(state.outstanding().version()).map((rule) -> rule.price().costOf(usage)).orElse(0L);
	}

	/**
	 * Returns a number from 0 to 1 that is the same for all requests of a session at
	 * every entry, so that entries propose the same version before the store is asked.
	 */
	private static double spreadUnit(IncomingRequest request) {
		String key = request.session().map((session) -> request.team() + "/" + session).orElse(request.id().value());
		return KeyHash.toUnitInterval(key);
	}

}
