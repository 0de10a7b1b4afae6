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
import org.gullsaddle.ledger.AttemptLine;
import org.gullsaddle.ledger.RequestRecord;
import org.gullsaddle.template.Template;
import org.gullsaddle.template.TemplateRevision;
import org.gullsaddle.template.VersionRule;

/**
 * An open request: what was decided, what is outstanding and what came back.
 */
final class RequestState {

	private static final double UNKNOWN_QUALITY = 0.5;

	private final IncomingRequest request;

	private final long admitted;

	private final List<AttemptLine> lines = new ArrayList<>();

	private final Set<NodeId> tried = new HashSet<>();

	private final Set<NodeId> failed = new HashSet<>();

	private final StringBuilder received = new StringBuilder();

	private final double unit;

	private TemplateRevision revision;

	private Plan plan;

	private int stage;

	private int attempts;

	private Outstanding outstanding;

	private boolean reached;

	private AttemptId rating;

	private Completion rated;

	private Fallback fallback;

	private Verdict verdict = Verdict.NOT_RUN;

	private boolean claimed;

	private boolean pinned;

	private boolean pinReplaced;

	private boolean delivering;

	private String outcome;

	private long finished;

	private long recordBy;

	private CallOutcome repeat;

	RequestState(IncomingRequest request, TemplateRevision revision, double unit, long admitted) {
		this.request = request;
		this.revision = revision;
		this.unit = unit;
		this.admitted = admitted;
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

	double unit() {
		return this.unit;
	}

	Template template() {
		return this.revision.template();
	}

	TemplateRevision revision() {
		return this.revision;
	}

	void refresh(TemplateRevision newest) {
		this.revision = newest;
	}

	void plan(Plan newPlan, boolean fromPin) {
		this.plan = newPlan;
		this.pinned = fromPin;
		this.stage = 0;
		this.tried.clear();
		this.failed.clear();
	}

	Plan plan() {
		return this.plan;
	}

	boolean pinned() {
		return this.pinned;
	}

	/**
	 * Marks that the session's version was replaced; true the first time only.
	 */
	boolean replacePin() {
		boolean first = !this.pinReplaced;
		this.pinReplaced = true;
		return first;
	}

	ModelVersion version() {
		return this.plan.stages().get(this.stage);
	}

	/**
	 * Returns what a rating of the current stage's answer is about.
	 */
	QualityTracker.RatingKey subject() {
		ModelVersion before = (this.stage > 0) ? this.plan.stages().get(this.stage - 1) : null;
		return new QualityTracker.RatingKey(this.request.template(), team(), version(), before);
	}

	/**
	 * Returns the mean rating that the operator expects of a version.
	 */
	double expectedQuality(ModelVersion version) {
		return template().rule(version).map(VersionRule::quality).orElse(UNKNOWN_QUALITY);
	}

	boolean lastStage() {
		return this.plan.isLastStage(this.stage);
	}

	void nextStage() {
		this.stage++;
		this.tried.clear();
		this.failed.clear();
		this.received.setLength(0);
	}

	int attempts() {
		return this.attempts;
	}

	Set<NodeId> tried() {
		return this.tried;
	}

	/**
	 * Returns the agents where an attempt ran, or may have, and was not completed.
	 */
	Set<NodeId> failed() {
		return this.failed;
	}

	AttemptId sent(NodeId agent, boolean alone, long stamp) {
		this.attempts++;
		AttemptId attempt = new AttemptId(id(), this.attempts);
		this.outstanding = new Outstanding(attempt, agent, version(), this.revision.revision(), alone, stamp);
		this.tried.add(agent);
		this.reached = false;
		return attempt;
	}

	Outstanding outstanding() {
		return this.outstanding;
	}

	boolean isCurrent(AttemptId attempt) {
		return this.outstanding != null && this.outstanding.attempt().equals(attempt);
	}

	/**
	 * Closes the outstanding attempt and keeps its line.
	 */
	Outstanding close(Verdict attemptVerdict, String attemptOutcome, Usage usage, long costMicros, long stamp) {
		Outstanding closed = this.outstanding;
		this.outstanding = null;
		this.verdict = this.verdict.and(attemptVerdict);
		if (attemptVerdict != Verdict.NOT_RUN) {
			this.failed.add(closed.agent());
		}
		this.lines.add(new AttemptLine(closed.attempt(), closed.version(), closed.agent(), closed.revision(),
				attemptVerdict, attemptOutcome, usage, costMicros, closed.stamp(), stamp));
		return closed;
	}

	boolean reached() {
		return this.reached;
	}

	/**
	 * Notes that the outstanding attempt is at its agent.
	 */
	void reach() {
		this.reached = true;
	}

	StringBuilder received() {
		return this.received;
	}

	boolean delivering() {
		return this.delivering;
	}

	void startDelivery() {
		this.delivering = true;
	}

	void awaitRating(AttemptId attempt, Completion completion) {
		this.rating = attempt;
		this.rated = completion;
	}

	boolean awaitsRating(AttemptId attempt) {
		return this.rating != null && this.rating.equals(attempt);
	}

	void ratingDone() {
		this.rating = null;
	}

	/**
	 * Keeps the answer of the current stage, in case no later one gives any.
	 */
	void keepFallback() {
		this.fallback = new Fallback(version(), this.received.toString(), this.rated);
	}

	Fallback fallback() {
		return this.fallback;
	}

	/**
	 * Says whether the current stage's answer was rated on its way.
	 */
	boolean wasRated() {
		return !lastStage();
	}

	boolean awaitsRating() {
		return this.rating != null;
	}

	boolean claimed() {
		return this.claimed;
	}

	void claim() {
		this.claimed = true;
	}

	/**
	 * Returns the verdict for the caller: what is outstanding may have run.
	 */
	Verdict verdict() {
		return (this.outstanding != null) ? this.verdict.and(Verdict.MAY_HAVE_RUN) : this.verdict;
	}

	boolean answered() {
		return this.outcome != null;
	}

	void answer(String finalOutcome, long stamp, long recordTime) {
		this.outcome = finalOutcome;
		this.finished = stamp;
		this.recordBy = recordTime;
	}

	/**
	 * Notes an answer of an earlier run that waits for this request's record.
	 */
	void awaitRecord(CallOutcome outcomeBefore) {
		this.repeat = outcomeBefore;
	}

	Optional<CallOutcome> repeat() {
		return Optional.ofNullable(this.repeat);
	}

	long recordBy() {
		return this.recordBy;
	}

	long cost() {
		return this.lines.stream().mapToLong(AttemptLine::costMicros).sum();
	}

	RequestRecord record() {
		String session = this.request.session().map(Object::toString).orElse(null);
		return new RequestRecord(id(), team(), this.request.template(), session, this.admitted,
				(this.plan != null) ? this.plan.reason() + ", over " + this.plan.stages() : "none", this.lines,
				verdict(), this.outcome, cost(), this.finished);
	}

	/**
	 * An answer that a caller has not been given.
	 */
	record Fallback(ModelVersion version, String text, Completion completion) {
	}

	/**
	 * The attempt that an agent has.
	 */
	record Outstanding(AttemptId attempt, NodeId agent, ModelVersion version, long revision, boolean alone,
			long stamp) {
	}

}
