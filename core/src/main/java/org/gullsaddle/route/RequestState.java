package org.gullsaddle.route;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.Completion;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.base.RequestId;
import org.gullsaddle.base.TeamId;
import org.gullsaddle.base.Usage;
import org.gullsaddle.base.Verdict;
import org.gullsaddle.ledger.AttemptRecord;
import org.gullsaddle.ledger.RequestRecord;
import org.gullsaddle.template.Template;
import org.gullsaddle.template.TemplateRevision;
import org.gullsaddle.template.VersionRule;

/**
 * The state of an open request: its plan, the outstanding attempt, the text received so
 * far, and what its record needs. Stamps are of the hybrid clock.
 */
final class RequestState {

	private static final double DEFAULT_EXPECTED_RATING = 0.5;

	private final IncomingRequest request;

	private final long admittedStamp;

	private final List<AttemptRecord> attemptLines = new ArrayList<>();

	private final Set<NodeId> triedAgents = new HashSet<>();

	private final Set<NodeId> failedAgents = new HashSet<>();

	private final StringBuilder receivedText = new StringBuilder();

	private final double spreadUnit;

	private TemplateRevision revision;

	private Plan plan;

	private int stage;

	private int attemptCount;

	private SentAttempt outstanding;

	private boolean reached;

	private AttemptId ratingAttempt;

	private Completion ratedCompletion;

	private Fallback fallback;

	private Verdict verdict = Verdict.NOT_RUN;

	private boolean claimed;

	private boolean pinned;

	private boolean pinReplaced;

	private boolean delivering;

	private String outcome;

	private long finishedStamp;

	private long recordDueMillis;

	private CallOutcome replayedOutcome;

	RequestState(IncomingRequest request, TemplateRevision revision, double spreadUnit, long admittedStamp) {
		this.request = request;
		this.revision = revision;
		this.spreadUnit = spreadUnit;
		this.admittedStamp = admittedStamp;
	}

	IncomingRequest request() {
		return this.request;
	}

	RequestId id() {
		return this.request.id();
	}

	TeamId team() {
		return this.request.team();
	}

	double spreadUnit() {
		return this.spreadUnit;
	}

	Template template() {
		return this.revision.template();
	}

	TemplateRevision revision() {
		return this.revision;
	}

	void updateRevision(TemplateRevision newRevision) {
		this.revision = newRevision;
	}

	/**
	 * Starts a plan at its first stage, with every agent to be tried again.
	 * @param newPlan the plan
	 * @param isFromPin whether the plan is the version that the session is pinned to
	 */
	void plan(Plan newPlan, boolean isFromPin) {
		this.plan = newPlan;
		this.pinned = isFromPin;
		this.stage = 0;
		this.triedAgents.clear();
		this.failedAgents.clear();
	}

	Plan plan() {
		return this.plan;
	}

	boolean isPinned() {
		return this.pinned;
	}

	/**
	 * Marks that a new version is requested for the session. Returns true the first time
	 * only, so that a request replaces the version at most once.
	 */
	boolean markPinReplaced() {
		boolean first = !this.pinReplaced;
		this.pinReplaced = true;
		return first;
	}

	ModelVersion version() {
		return this.plan.stages().get(this.stage);
	}

	/**
	 * Returns the key under which a rating of the current stage's answer is recorded.
	 */
	QualityTracker.RatingKey ratingKey() {
		ModelVersion previous = (this.stage > 0) ? this.plan.stages().get(this.stage - 1) : null;
		return new QualityTracker.RatingKey(this.request.template(), team(), version(), previous);
	}

	/**
	 * Returns the mean rating that the operator expects of a version.
	 */
	double expectedRating(ModelVersion version) {
		return template().findRule(version).map(VersionRule::quality).orElse(DEFAULT_EXPECTED_RATING);
	}

	boolean isLastStage() {
		return this.plan.isLastStage(this.stage);
	}

	void advanceStage() {
		this.stage++;
		this.triedAgents.clear();
		this.failedAgents.clear();
		this.receivedText.setLength(0);
	}

	int attemptCount() {
		return this.attemptCount;
	}

	Set<NodeId> triedAgents() {
		return this.triedAgents;
	}

	/**
	 * Returns the agents where an attempt of this stage ran, or may have run.
	 */
	Set<NodeId> failedAgents() {
		return this.failedAgents;
	}

	AttemptId startAttempt(NodeId agent, boolean alone, long stamp) {
		this.attemptCount++;
		AttemptId attempt = new AttemptId(id(), this.attemptCount);
		this.outstanding = new SentAttempt(attempt, agent, version(), this.revision.revision(), alone, stamp);
		this.triedAgents.add(agent);
		this.reached = false;
		return attempt;
	}

	SentAttempt outstanding() {
		return this.outstanding;
	}

	boolean isOutstanding(AttemptId attempt) {
		return this.outstanding != null && this.outstanding.attempt().equals(attempt);
	}

	/**
	 * Closes the outstanding attempt and adds its line to the record.
	 */
	SentAttempt closeAttempt(Verdict attemptVerdict, String attemptOutcome, Usage usage, long costMicros, long stamp) {
		SentAttempt closed = this.outstanding;
		this.outstanding = null;
		this.verdict = this.verdict.combine(attemptVerdict);
		if (attemptVerdict != Verdict.NOT_RUN) {
			this.failedAgents.add(closed.agent());
		}
		this.attemptLines.add(new AttemptRecord(closed.attempt(), closed.version(), closed.agent(), closed.revision(),
				attemptVerdict, attemptOutcome, usage, costMicros, closed.sentStamp(), stamp));
		return closed;
	}

	boolean hasReachedAgent() {
		return this.reached;
	}

	/**
	 * Marks that the agent has accepted the outstanding attempt.
	 */
	void markReachedAgent() {
		this.reached = true;
	}

	StringBuilder receivedText() {
		return this.receivedText;
	}

	boolean isDelivering() {
		return this.delivering;
	}

	void markDelivering() {
		this.delivering = true;
	}

	void awaitRating(AttemptId attempt, Completion completion) {
		this.ratingAttempt = attempt;
		this.ratedCompletion = completion;
	}

	boolean isAwaitingRating(AttemptId attempt) {
		return this.ratingAttempt != null && this.ratingAttempt.equals(attempt);
	}

	void endRating() {
		this.ratingAttempt = null;
	}

	/**
	 * Saves the answer of the current stage, to be delivered if no later stage completes.
	 */
	void saveFallback() {
		this.fallback = new Fallback(version(), this.receivedText.toString(), this.ratedCompletion);
	}

	Fallback fallback() {
		return this.fallback;
	}

	/**
	 * Returns whether the answer of the current stage is rated before it is delivered.
	 */
	boolean isRatedBeforeDelivery() {
		return !isLastStage();
	}

	boolean isAwaitingRating() {
		return this.ratingAttempt != null;
	}

	boolean hasClaim() {
		return this.claimed;
	}

	void markClaimed() {
		this.claimed = true;
	}

	/**
	 * Returns the verdict for the caller. An outstanding attempt may have run.
	 */
	Verdict verdict() {
		return (this.outstanding != null) ? this.verdict.combine(Verdict.MAY_HAVE_RUN) : this.verdict;
	}

	boolean isAnswered() {
		return this.outcome != null;
	}

	void markAnswered(String finalOutcome, long stamp, long recordDue) {
		this.outcome = finalOutcome;
		this.finishedStamp = stamp;
		this.recordDueMillis = recordDue;
	}

	/**
	 * Keeps the stored answer of an earlier call, to be replayed once the record of this
	 * request is stored.
	 */
	void replayAfterRecord(CallOutcome storedOutcome) {
		this.replayedOutcome = storedOutcome;
	}

	Optional<CallOutcome> replayedOutcome() {
		return Optional.ofNullable(this.replayedOutcome);
	}

	long recordDueMillis() {
		return this.recordDueMillis;
	}

	long totalCostMicros() {
		return this.attemptLines.stream().mapToLong(AttemptRecord::costMicros).sum();
	}

	RequestRecord toRecord() {
		String session = this.request.session().map(Object::toString).orElse(null);
		return new RequestRecord(id(), team(), this.request.template(), session, this.admittedStamp,
				(this.plan != null) ? this.plan.reason() + ", over " + this.plan.stages() : "none", this.attemptLines,
				verdict(), this.outcome, totalCostMicros(), this.finishedStamp);
	}

	/**
	 * A whole answer of an earlier stage that has not been delivered.
	 */
	record Fallback(ModelVersion version, String text, Completion completion) {
	}

	/**
	 * An attempt that was sent to an agent and has not ended.
	 */
	record SentAttempt(AttemptId attempt, NodeId agent, ModelVersion version, long revision, boolean alone,
			long sentStamp) {
	}

}
