package org.gullsaddle.agent;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.Completion;
import org.gullsaddle.base.Dispatch;
import org.gullsaddle.base.LoadReport;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.base.Refusal;
import org.gullsaddle.base.RefusalReason;
import org.gullsaddle.base.Usage;
import org.gullsaddle.base.Verdict;
import org.gullsaddle.clock.Moment;
import org.gullsaddle.ledger.AgentRecord;
import org.gullsaddle.ledger.AttemptRecord;
import org.gullsaddle.suspect.SuspectContent;
import org.gullsaddle.suspect.SuspectTracker;
import org.gullsaddle.template.Template;
import org.gullsaddle.template.TemplateRevision;
import org.gullsaddle.template.TemplateTable;

/**
 * Controls which attempts one backend server runs, and in which order. Not thread-safe:
 * pass it one event at a time, with the time of the event, and carry out the returned
 * actions in order.
 *
 * <pre>
 * Admission admission = new Admission(AdmissionSettings.of(id));
 * for (AdmissionAction action : admission.handle(now, event)) {
 *     carryOut(action);
 * }
 * </pre>
 */
public final class Admission {

	private static final String CRASHED_OUTCOME = "backend-crashed";

	private static final int MAX_SEEN_ATTEMPTS = 20_000;

	private static final double MEAN_SMOOTHING_FACTOR = 0.1;

	private static final long COPY_TIMEOUT_MILLIS = 100;

	private static final long RETRY_AFTER_MILLIS = 1000;

	private final AdmissionSettings settings;

	private final TemplateTable templates = new TemplateTable();

	private final SuspectTracker suspects = new SuspectTracker();

	private final FairQueue queue = new FairQueue();

	private final Map<AttemptId, DispatchedAttempt> running = new LinkedHashMap<>();

	/**
	 * Attempts that were dispatched or cancelled, as a frame that arrives twice, after a
	 * lost connection was opened again, must not run twice. Entries never reuse the
	 * number of an attempt, so the recent ones are enough.
	 */
	private final Map<AttemptId, Boolean> seenAttempts = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<AttemptId, Boolean> eldest) {
			return size() > MAX_SEEN_ATTEMPTS;
		}
	};

	/**
	 * Answers whose end is not sent yet, until another entry holds a copy of their line.
	 */
	private final Map<AttemptId, PendingEnd> pendingEnds = new LinkedHashMap<>();

	private final Set<NodeId> entries = new TreeSet<>();

	private final List<AdmissionAction> actions = new ArrayList<>();

	private Set<ModelVersion> versions = Set.of();

	private int slots = 1;

	private boolean backendAvailable;

	private boolean draining;

	private boolean drainReported;

	private double meanRunMillis;

	private long arrivalCount;

	/**
	 * Creates an admission for a backend server that is not available yet.
	 * @param settings the settings
	 */
	public Admission(AdmissionSettings settings) {
		this.settings = settings;
		this.meanRunMillis = settings.initialRunMillis();
	}

	/**
	 * Handles an event.
	 * @param now when the event happened
	 * @param event the event
	 * @return the actions to carry out, in order
	 */
	public List<AdmissionAction> handle(Moment now, AdmissionEvent event) {
		switch (event) {
			case AdmissionEvent.Dispatched dispatched -> onDispatched(now, dispatched);
			case AdmissionEvent.CancelRequested cancelled -> onCancelRequested(cancelled.attempt());
			case AdmissionEvent.EntryUp entry -> this.entries.add(entry.entry());
			case AdmissionEvent.CopyHeld held -> sendPendingEnd(held.attempt());
			case AdmissionEvent.EntryDown down -> onEntryDown(down);
			case AdmissionEvent.AttemptChunk chunk -> onAttemptChunk(chunk);
			case AdmissionEvent.AttemptDone done -> onAttemptDone(now, done);
			case AdmissionEvent.AttemptFailed failed -> onAttemptFailed(now, failed);
			case AdmissionEvent.BackendUp backend -> onBackendUp(now, backend);
			case AdmissionEvent.BackendDown down -> onBackendDown();
			case AdmissionEvent.TemplateChanged changed -> this.templates.apply(changed.revision());
			case AdmissionEvent.SuspectAnnounced learned -> this.suspects.merge(learned.suspicion());
			case AdmissionEvent.DrainStarted drain -> onDrainStarted();
			case AdmissionEvent.Tick tick -> {
				sendOverdueEnds(now);
				startQueued(now);
				refuseLateWork(now);
			}
		}
		reportDrained();
		List<AdmissionAction> decidedActions = List.copyOf(this.actions);
		this.actions.clear();
		return decidedActions;
	}

	/**
	 * Returns the load to report.
	 * @return the running and waiting attempts, and the slots of the backend server
	 */
	public LoadReport load() {
		return new LoadReport(this.running.size(), this.queue.size(), this.slots);
	}

	/**
	 * Returns the versions to announce.
	 * @return the loaded versions, or none while the backend server is down
	 */
	public Set<ModelVersion> versions() {
		return this.backendAvailable ? this.versions : Set.of();
	}

	/**
	 * Returns the template revisions that this agent knows.
	 * @return the templates
	 */
	public TemplateTable templates() {
		return this.templates;
	}

	/**
	 * Returns the known crash suspicions, to be sent to an entry that has just connected.
	 * @return the suspicions
	 */
	public List<SuspectContent> suspects() {
		return this.suspects.suspects();
	}

	/**
	 * Returns whether new attempts are refused because the backend server is leaving.
	 * @return true once it drains
	 */
	public boolean isDraining() {
		return this.draining;
	}

	private void onDispatched(Moment now, AdmissionEvent.Dispatched event) {
		AttemptId attempt = event.dispatch().attempt();
		if (this.seenAttempts.putIfAbsent(attempt, Boolean.TRUE) != null) {
			return;
		}
		DispatchedAttempt work = new DispatchedAttempt(event.entry(), event.dispatch(), event.deadline(),
				this.arrivalCount);
		this.arrivalCount++;
		Optional<Refusal> refusal = checkRunnable(now, work);
		if (refusal.isEmpty()) {
			refusal = checkCapacity(now, work);
		}
		if (refusal.isPresent()) {
			refuse(work, refusal.get());
			return;
		}
		this.queue.add(work);
		this.actions.add(new AdmissionAction.Accept(work.entry(), attempt, this.queue.countAhead(work)));
		startQueued(now);
		refuseLateWork(now);
	}

	/**
	 * Checks what can change while an attempt is queued. Called on arrival and again
	 * before the start.
	 */
	private Optional<Refusal> checkRunnable(Moment now, DispatchedAttempt work) {
		Dispatch dispatch = work.dispatch();
		if (this.draining) {
			return Optional.of(Refusal.notRun(RefusalReason.LEAVING, RETRY_AFTER_MILLIS));
		}
		if (!this.backendAvailable || !this.versions.contains(dispatch.version())) {
			return Optional.of(Refusal.notRun(RefusalReason.NO_VERSION, RETRY_AFTER_MILLIS));
		}
		if (!isPermitted(dispatch)) {
			return Optional.of(Refusal.notRun(RefusalReason.FORBIDDEN, RETRY_AFTER_MILLIS));
		}
		if (this.suspects.isBlocked(dispatch.fingerprint())) {
			return Optional.of(Refusal.notRun(RefusalReason.POISON, 0));
		}
		if (now.millis() >= work.deadline()) {
			return Optional.of(Refusal.notRun(RefusalReason.DEADLINE, RETRY_AFTER_MILLIS));
		}
		return Optional.empty();
	}

	/**
	 * Checks a dispatch against the templates that this agent knows.
	 * <p>
	 * An entry that is cut off or slow may decide under an old revision and send attempts
	 * to a version that was withdrawn since. The agent's own revision stops them before
	 * they run. An agent that does not know the revision yet, as after a restart, cannot
	 * decide and refuses too. Entries send a revision before the attempts that depend on
	 * it.
	 */
	private boolean isPermitted(Dispatch dispatch) {
		TemplateRevision known = this.templates.find(dispatch.template()).orElse(null);
		if (known == null || known.revision() < dispatch.revision()) {
			return false;
		}
		Template template = known.template();
		return template.allows(dispatch.team(), dispatch.version(), dispatch.pinned());
	}

	private Optional<Refusal> checkCapacity(Moment now, DispatchedAttempt work) {
		this.queue.assignFinishTag(work);
		if (this.queue.size() >= this.settings.maxQueued() && !this.queue.wouldPrecedeLast(work)) {
			return Optional.of(overloadedRefusal(this.queue.size()));
		}
		// Half of the remaining time is kept for attempts of a higher rank that may
		// arrive later and start earlier.
		long latestEnd = now.millis() + (work.deadline() - now.millis()) / 2;
		if (this.running.size() >= this.slots && wouldMissDeadline(now, work, latestEnd)) {
			return Optional.of(overloadedRefusal(this.queue.countAhead(work)));
		}
		return Optional.empty();
	}

	/**
	 * Refuses attempts from the end of the queue while it is too long or the last one
	 * would miss its deadline, as attempts of a higher rank came before it. If such an
	 * attempt stayed queued, its caller would learn that only at the deadline, too late
	 * for another agent.
	 */
	private void refuseLateWork(Moment now) {
		while (this.queue.size() > 0) {
			DispatchedAttempt last = this.queue.last();
			if (this.queue.size() <= this.settings.maxQueued() && !wouldMissDeadline(now, last, last.deadline())) {
				return;
			}
			this.queue.remove(last.attempt());
			refuse(last, overloadedRefusal(this.queue.size()));
		}
	}

	private boolean wouldMissDeadline(Moment now, DispatchedAttempt work, long latestEnd) {
		return now.millis() + expectedWaitMillis(this.queue.countAhead(work)) + this.meanRunMillis >= latestEnd;
	}

	private Refusal overloadedRefusal(int ahead) {
		return Refusal.notRun(RefusalReason.OVERLOADED, Math.max(RETRY_AFTER_MILLIS / 2, expectedWaitMillis(ahead)));
	}

	private long expectedWaitMillis(int ahead) {
		return Math.round((ahead + 1) * this.meanRunMillis / this.slots);
	}

	private void startQueued(Moment now) {
		while (true) {
			DispatchedAttempt next = this.queue.peek().orElse(null);
			if (next == null) {
				return;
			}
			Optional<Refusal> refusal = checkRunnable(now, next);
			if (refusal.isPresent()) {
				this.queue.takeFirst();
				refuse(next, refusal.get());
			}
			else if (canStart(next)) {
				this.queue.takeFirst();
				start(now, next);
			}
			else {
				return;
			}
		}
	}

	/**
	 * Returns whether an attempt may start beside those that run. An attempt suspected of
	 * crashing its backend server waits until nothing else runs, and nothing starts
	 * beside it, so that another crash affects no other attempt.
	 */
	private boolean canStart(DispatchedAttempt work) {
		if (this.running.isEmpty()) {
			return true;
		}
		boolean isSuspectRunning = this.running.values().stream().anyMatch(DispatchedAttempt::alone);
		return !isSuspectRunning && !mustRunAlone(work) && this.running.size() < this.slots;
	}

	private boolean mustRunAlone(DispatchedAttempt work) {
		return work.dispatch().alone() || this.suspects.isSuspect(work.dispatch().fingerprint());
	}

	private void start(Moment now, DispatchedAttempt work) {
		work.alone(mustRunAlone(work));
		work.markStarted(now.millis(), now.stamp());
		this.running.put(work.attempt(), work);
		this.actions.add(new AdmissionAction.Start(work.dispatch(), work.deadline()));
	}

	private void refuse(DispatchedAttempt work, Refusal refusal) {
		this.actions.add(new AdmissionAction.Refuse(work.entry(), work.attempt(), refusal));
	}

	private void onCancelRequested(AttemptId attempt) {
		Optional<DispatchedAttempt> waiting = this.queue.remove(attempt);
		if (waiting.isPresent()) {
			refuse(waiting.get(), Refusal.notRun(RefusalReason.CALLER_GONE, 0));
		}
		else if (this.running.containsKey(attempt)) {
			this.running.get(attempt).markCancelled();
			this.actions.add(new AdmissionAction.Abort(attempt));
		}
		else {
			// A dispatch that arrives after its cancellation must not run.
			this.seenAttempts.put(attempt, Boolean.TRUE);
		}
	}

	private void onEntryDown(AdmissionEvent.EntryDown event) {
		this.entries.remove(event.entry());
		this.queue.removeIf((work) -> work.entry().equals(event.entry()));
		for (DispatchedAttempt work : this.running.values()) {
			if (work.entry().equals(event.entry()) && !work.isOrphaned()) {
				work.markOrphaned();
				// A call that may run only once continues: stopping it half-way helps
				// nobody.
				if (work.dispatch().repeatable()) {
					this.actions.add(new AdmissionAction.Abort(work.attempt()));
				}
			}
		}
	}

	private void onAttemptChunk(AdmissionEvent.AttemptChunk event) {
		DispatchedAttempt work = this.running.get(event.attempt());
		if (work != null) {
			this.actions
				.add(new AdmissionAction.SendChunk(work.entry(), event.attempt(), work.answerLength(), event.text()));
			work.addAnswerLength(event.text().length());
		}
	}

	private void onAttemptDone(Moment now, AdmissionEvent.AttemptDone event) {
		DispatchedAttempt work = this.running.remove(event.attempt());
		if (work == null) {
			return;
		}
		this.meanRunMillis += MEAN_SMOOTHING_FACTOR * (now.millis() - work.startMillis() - this.meanRunMillis);
		Completion completion = event.completion();
		if (work.alone()) {
			this.suspects.clear(work.dispatch().fingerprint());
		}
		AgentRecord line = holdLine(now, work, Verdict.RAN, "done", completion.usage());
		AdmissionAction end = new AdmissionAction.SendDone(work.entry(), event.attempt(), completion,
				work.answerLength());
		this.pendingEnds.put(event.attempt(), new PendingEnd(end, now.millis() + COPY_TIMEOUT_MILLIS));
		Optional<NodeId> holder = this.entries.stream().filter((entry) -> !entry.equals(work.entry())).findAny();
		holder.ifPresentOrElse((entry) -> this.actions.add(new AdmissionAction.CopyLine(entry, line)),
				() -> sendPendingEnd(event.attempt()));
		startQueued(now);
	}

	/**
	 * Sends the end of an answer to its entry, unless that is done.
	 * <p>
	 * The entry answers the caller as soon as it receives the end. If the entry and the
	 * agent fail before either has written the record, the request was served and is
	 * never billed. With a copy of the line at a third node, that takes the failure of
	 * all three.
	 */
	private void sendPendingEnd(AttemptId attempt) {
		PendingEnd pendingEnd = this.pendingEnds.remove(attempt);
		if (pendingEnd != null) {
			this.actions.add(pendingEnd.end());
		}
	}

	private void sendOverdueEnds(Moment now) {
		List<AttemptId> overdue = this.pendingEnds.entrySet()
			.stream()
			.filter((pendingEnd) -> pendingEnd.getValue().dueMillis() <= now.millis())
			.map(Map.Entry::getKey)
			.toList();
		overdue.forEach(this::sendPendingEnd);
	}

	private void onAttemptFailed(Moment now, AdmissionEvent.AttemptFailed event) {
		DispatchedAttempt work = this.running.remove(event.attempt());
		if (work == null) {
			return;
		}
		if (event.crashed()) {
			SuspectContent known = this.suspects.onCrash(work.dispatch().fingerprint(), work.attempt(), work.alone());
			this.actions.add(new AdmissionAction.AnnounceSuspect(known));
		}
		if (event.verdict() != Verdict.NOT_RUN) {
			holdLine(now, work, event.verdict(), event.crashed() ? CRASHED_OUTCOME : "backend-failed", event.usage());
		}
		this.actions.add(new AdmissionAction.SendFailed(work.entry(), event.attempt(), event.verdict(), event.crashed(),
				event.usage()));
		startQueued(now);
	}

	private AgentRecord holdLine(Moment now, DispatchedAttempt work, Verdict verdict, String outcome, Usage usage) {
		Dispatch dispatch = work.dispatch();
		// A caller that cancels pays for what ran. Failures of the backend server
		// are free.
		boolean billed = verdict == Verdict.RAN || (work.isCancelled() && !outcome.equals(CRASHED_OUTCOME));
		long cost = billed ? costMicros(dispatch, usage) : 0;
		AttemptRecord line = new AttemptRecord(work.attempt(), dispatch.version(), this.settings.id(),
				dispatch.revision(), verdict, outcome, usage, cost, work.startStamp(), now.stamp());
		AgentRecord held = new AgentRecord(work.entry(), dispatch.team(), dispatch.template(), line);
		this.actions.add(new AdmissionAction.HoldLine(held));
		return held;
	}

	private long costMicros(Dispatch dispatch, Usage usage) {
		return this.templates.find(dispatch.template())
			.flatMap((revision) -> revision.template().findRule(dispatch.version()))
			.map((rule) -> rule.price().costOf(usage))
			.orElse(0L);
	}

	private void onBackendUp(Moment now, AdmissionEvent.BackendUp event) {
		this.backendAvailable = true;
		this.versions = Set.copyOf(event.versions());
		this.slots = event.slots();
		startQueued(now);
	}

	private void onBackendDown() {
		this.backendAvailable = false;
		for (DispatchedAttempt work : this.queue.removeIf((waiting) -> true)) {
			refuse(work, Refusal.notRun(RefusalReason.NO_VERSION, RETRY_AFTER_MILLIS));
		}
	}

	private void onDrainStarted() {
		if (this.draining) {
			return;
		}
		this.draining = true;
		this.actions.add(new AdmissionAction.AnnounceLeaving());
		for (DispatchedAttempt work : this.queue.removeIf((waiting) -> true)) {
			refuse(work, Refusal.notRun(RefusalReason.LEAVING, RETRY_AFTER_MILLIS));
		}
	}

	private void reportDrained() {
		if (this.draining && !this.drainReported && this.running.isEmpty() && this.pendingEnds.isEmpty()) {
			this.drainReported = true;
			this.actions.add(new AdmissionAction.Drained());
		}
	}

	/**
	 * The end of an answer, and when it is sent even without a copy of its line.
	 */
	private record PendingEnd(AdmissionAction end, long dueMillis) {
	}

}
