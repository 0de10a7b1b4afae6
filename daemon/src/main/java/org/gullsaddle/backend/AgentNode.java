package org.gullsaddle.backend;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.subjects.CompletableSubject;
import io.vertx.rxjava3.core.Vertx;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.gullsaddle.agent.Admission;
import org.gullsaddle.agent.AdmissionAction;
import org.gullsaddle.agent.AdmissionEvent;
import org.gullsaddle.agent.AdmissionSettings;
import org.gullsaddle.agent.HeldLines;
import org.gullsaddle.base.AgentInfo;
import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.LoadReport;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.base.RequestId;
import org.gullsaddle.base.Usage;
import org.gullsaddle.base.Verdict;
import org.gullsaddle.controller.LedgerController;
import org.gullsaddle.controller.TemplateController;
import org.gullsaddle.ledger.AgentRecord;
import org.gullsaddle.ledger.LedgerEntry;
import org.gullsaddle.settings.Role;
import org.gullsaddle.settings.Settings;
import org.gullsaddle.suspect.SuspectContent;
import org.gullsaddle.telemetry.NodeClock;
import org.gullsaddle.telemetry.Telemetry;
import org.gullsaddle.template.TemplateKind;
import org.gullsaddle.template.TemplateRevision;
import org.gullsaddle.wire.Frame;
import org.gullsaddle.wire.PeerLink;
import org.gullsaddle.wire.PeerListener;

/**
 * The agent node: runs attempts on one backend server and reports their results to
 * entries. {@link Admission} makes the decisions; one lock guards the state.
 */
public final class AgentNode implements PeerListener {

	private static final Logger LOG = LoggerFactory.getLogger(AgentNode.class);

	private static final long TICK_MILLIS = 50;

	private static final long HOLD_MILLIS = 60_000;

	private static final long CRASH_CHECK_DELAY_MILLIS = 50;

	private static final long NON_REPEATABLE_GRACE_MILLIS = 30_000;

	private static final int MAX_COPIES = 20_000;

	private static final int FAILED_PROBES_UNTIL_DOWN = 2;

	private final Settings settings;

	private final NodeClock clock;

	private final Telemetry telemetry;

	private final Backend backend;

	private final Admission admission;

	private final TemplateController templates;

	private final LedgerController ledger;

	private final HeldLines heldLines = new HeldLines(HOLD_MILLIS);

	private final Map<RequestId, NodeId> copyHolders = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<RequestId, NodeId> eldest) {
			return size() > MAX_COPIES;
		}
	};

	private final Map<NodeId, PeerLink> entries = new ConcurrentHashMap<>();

	private final Map<AttemptId, AttemptSubscriber> runs = new HashMap<>();

	private final Queue<AdmissionEvent> events = new ArrayDeque<>();

	private final CompositeDisposable subscriptions = new CompositeDisposable();

	private final CompletableSubject drained = CompletableSubject.create();

	private boolean handling;

	private int failedProbes;

	private final StatusAnnouncer announcer = new StatusAnnouncer();

	/**
	 * Creates an agent; {@link #start()} begins its work.
	 * @param vertx the Vert.x instance for calls to the backend server
	 * @param settings the node's settings, with the role of agent
	 * @param clock the node's clocks
	 * @param telemetry the node's metrics
	 * @param templates the templates in force
	 * @param ledger the node's ledger
	 */
	public AgentNode(Vertx vertx, Settings settings, NodeClock clock, Telemetry telemetry, TemplateController templates,
			LedgerController ledger) {
		this.settings = settings;
		this.clock = clock;
		this.telemetry = telemetry;
		this.templates = templates;
		this.ledger = ledger;
		Settings.Agent agent = settings.agent().orElseThrow();
		BackendHttp http = new BackendHttp(vertx, agent.backend(), agent.slots());
		this.backend = (agent.kind() == TemplateKind.CHAT) ? new EngineBackend(http)
				: new ServiceBackend(http, agent.versions());
		this.admission = new Admission(AdmissionSettings.of(settings.node()).withMaxQueued(agent.maxQueued()));
		templates.addListener(this::onTemplateChanged);
	}

	/**
	 * Starts the health probes of the backend server and the writing of the ledger.
	 */
	public void start() {
		long probe = this.settings.agent().orElseThrow().probeMillis();
		this.subscriptions.add(Flowable.interval(0, probe, TimeUnit.MILLISECONDS)
			.onBackpressureDrop()
			.concatMapSingle((tick) -> probe())
			.subscribe(this::onProbeResult));
		this.subscriptions.add(Flowable.interval(TICK_MILLIS, TimeUnit.MILLISECONDS)
			.onBackpressureDrop()
			.subscribe((tick) -> onTick()));
		this.subscriptions.add(this.ledger.run(Flowable.interval(1, TimeUnit.SECONDS)).subscribe());
		this.subscriptions.add(this.templates.load().ignoreElement().onErrorComplete().subscribe());
		this.telemetry.gauge("queue.running", () -> loadReport().running());
		this.telemetry.gauge("queue.waiting", () -> loadReport().waiting());
		this.telemetry.gauge("ledger.held", this::heldRequestCount);
	}

	/**
	 * Stops gracefully: accepts no new attempts, lets running ones finish, and writes
	 * every held attempt record, so that each is billed.
	 * @return completes when no attempt runs and the ledger is written
	 */
	public Completable drain() {
		return Completable.fromAction(() -> handle(new AdmissionEvent.DrainStarted()))
			.andThen(this.drained)
			.andThen(awaitRecorded())
			.andThen(Completable.fromAction(this::appendHeldLines))
			.andThen(Completable.defer(this.ledger::flushUntilWritten));
	}

	/**
	 * Stops the periodic work at once.
	 */
	public void stop() {
		this.subscriptions.dispose();
	}

	/**
	 * Returns whether the agent can accept attempts.
	 * @return true if the backend server has reported versions and the agent is not
	 * draining
	 */
	public synchronized boolean isReady() {
		return !this.admission.isDraining() && !this.admission.versions().isEmpty();
	}

	@Override
	public void onLinkUp(PeerLink link) {
		if (link.peerRole() != Role.ENTRY) {
			link.close();
			return;
		}
		PeerLink earlier = this.entries.put(link.peer(), link);
		if (earlier != null) {
			earlier.close();
		}
		handle(new AdmissionEvent.EntryUp(link.peer()));
		suspectContents().forEach((suspicion) -> link.send(new Frame.Suspect(suspicion)));
		this.announcer.sendStatus(link.peer(), statusFrame(), link::send);
		link.send(inForceFrame());
	}

	@Override
	public void onLinkDown(PeerLink link) {
		if (this.entries.remove(link.peer(), link)) {
			this.announcer.onEntryDown(link.peer());
			handle(new AdmissionEvent.EntryDown(link.peer()));
		}
	}

	@Override
	public void onFrame(PeerLink link, Frame frame) {
		switch (frame) {
			case Frame.Dispatched sent -> handle(new AdmissionEvent.Dispatched(link.peer(), sent.dispatch(),
					link.toLocalMillis(sent.dispatch().deadline())));
			case Frame.Cancel cancel -> handle(new AdmissionEvent.CancelRequested(cancel.attempt()));
			case Frame.Credit credit -> onCredit(credit);
			case Frame.Suspect suspect -> handle(new AdmissionEvent.SuspectAnnounced(suspect.suspicion()));
			case Frame.CopyHeld copy -> handle(new AdmissionEvent.CopyHeld(copy.attempt()));
			case Frame.Recorded recorded -> onRecorded(recorded);
			case Frame.Templates pushed -> {
				pushed.revisions().forEach(this.templates::apply);
				link.send(inForceFrame());
			}
			default -> LOG.atDebug().addKeyValue("frame", frame.getClass().getSimpleName()).log("frame ignored");
		}
	}

	private void onTemplateChanged(TemplateRevision revision) {
		handle(new AdmissionEvent.TemplateChanged(revision));
	}

	private void handle(AdmissionEvent event) {
		synchronized (this) {
			this.events.add(event);
			if (this.handling) {
				return;
			}
			this.handling = true;
			while (!this.events.isEmpty()) {
				for (AdmissionAction action : this.admission.handle(this.clock.now(), this.events.poll())) {
					execute(action);
				}
			}
			this.handling = false;
		}
	}

	private void execute(AdmissionAction action) {
		switch (action) {
			case AdmissionAction.Start start -> start(start);
			case AdmissionAction.Abort abort -> abort(abort.attempt());
			case AdmissionAction.Accept accept ->
				send(accept.entry(), new Frame.Accepted(accept.attempt(), accept.ahead()));
			case AdmissionAction.Refuse refuse -> {
				this.telemetry.count("refused." + refuse.refusal().reason());
				send(refuse.entry(), new Frame.Refused(refuse.attempt(), refuse.refusal()));
			}
			case AdmissionAction.SendChunk chunk ->
				send(chunk.entry(), new Frame.Chunk(chunk.attempt(), chunk.offset(), chunk.text()));
			case AdmissionAction.SendDone done ->
				send(done.entry(), new Frame.Done(done.attempt(), done.completion(), done.length()));
			case AdmissionAction.SendFailed failed -> send(failed.entry(),
					new Frame.Failed(failed.attempt(), failed.verdict(), failed.crashed(), failed.usage()));
			case AdmissionAction.HoldLine hold -> this.heldLines.hold(hold.line(), this.clock.millis());
			case AdmissionAction.CopyLine copy -> {
				this.copyHolders.put(copy.line().line().attempt().request(), copy.holder());
				send(copy.holder(), new Frame.Copy(copy.line()));
			}
			case AdmissionAction.AnnounceSuspect suspect ->
				this.entries.values().forEach((link) -> link.send(new Frame.Suspect(suspect.suspicion())));
			case AdmissionAction.AnnounceLeaving leaving ->
				this.entries.values().forEach((link) -> link.send(new Frame.Leaving()));
			case AdmissionAction.Drained done -> this.drained.onComplete();
		}
	}

	private void send(NodeId entry, Frame frame) {
		PeerLink link = this.entries.get(entry);
		if (link != null) {
			link.send(frame);
		}
	}

	private void start(AdmissionAction.Start start) {
		AttemptId attempt = start.dispatch().attempt();
		AttemptSubscriber subscriber = new AttemptSubscriber(start.dispatch(),
				(outcome) -> onOutcome(attempt, outcome));
		this.runs.put(attempt, subscriber);
		long remainingMillis = start.deadline() - this.clock.millis();
		// A call that must not be repeated may run past its deadline, so that its outcome
		// becomes known.
		long timeoutMillis = start.dispatch().repeatable() ? remainingMillis
				: remainingMillis + NON_REPEATABLE_GRACE_MILLIS;
		this.backend.run(start.dispatch())
			.mergeWith(Completable.timer(Math.min(timeoutMillis, TimeUnit.DAYS.toMillis(1)), TimeUnit.MILLISECONDS)
				.andThen(Completable.error(new BackendException("deadline passed", Verdict.MAY_HAVE_RUN, null))))
			.takeUntil((event) -> event instanceof BackendEvent.End)
			.subscribe(subscriber);
	}

	private void abort(AttemptId attempt) {
		AttemptSubscriber subscriber = this.runs.get(attempt);
		if (subscriber != null) {
			subscriber.abort();
		}
	}

	private void onCredit(Frame.Credit credit) {
		AttemptSubscriber subscriber;
		synchronized (this) {
			subscriber = this.runs.get(credit.attempt());
		}
		if (subscriber != null) {
			subscriber.onCredit(credit.characters());
		}
	}

	private void onOutcome(AttemptId attempt, AttemptSubscriber.Outcome outcome) {
		switch (outcome) {
			case AttemptSubscriber.Outcome.Chunk chunk ->
				handle(new AdmissionEvent.AttemptChunk(attempt, chunk.text()));
			case AttemptSubscriber.Outcome.Completed completed -> {
				removeRun(attempt);
				handle(new AdmissionEvent.AttemptDone(attempt, completed.completion()));
			}
			case AttemptSubscriber.Outcome.Failed failure -> {
				removeRun(attempt);
				onRunFailed(attempt, failure);
			}
		}
	}

	/**
	 * Probes the backend server after a failed run to distinguish a crash from other
	 * failures.
	 */
	private void onRunFailed(AttemptId attempt, AttemptSubscriber.Outcome.Failed failure) {
		LOG.atInfo().addKeyValue("attempt", attempt).addKeyValue("reason", failure.reason()).log("attempt broke off");
		if (failure.verdict() == Verdict.NOT_RUN || failure.reason().equals("stopped")) {
			handleFailure(attempt, failure.verdict(), false, failure.usage());
			return;
		}
		this.subscriptions.add(Single.timer(CRASH_CHECK_DELAY_MILLIS, TimeUnit.MILLISECONDS)
			.flatMap((tick) -> this.backend.probe())
			.map((versions) -> false)
			.onErrorReturnItem(true)
			.subscribe((crashed) -> handleFailure(attempt, failure.verdict(), crashed, failure.usage())));
	}

	private void handleFailure(AttemptId attempt, Verdict verdict, boolean crashed, Usage usage) {
		handle(new AdmissionEvent.AttemptFailed(attempt, verdict, crashed, usage));
	}

	private synchronized void removeRun(AttemptId attempt) {
		this.runs.remove(attempt);
	}

	private synchronized void onRecorded(Frame.Recorded recorded) {
		this.heldLines.onRecorded(recorded.requests());
		for (RequestId request : recorded.requests()) {
			NodeId holder = this.copyHolders.remove(request);
			if (holder != null) {
				send(holder, new Frame.Recorded(List.of(request)));
			}
		}
	}

	private Single<Boolean> probe() {
		return this.backend.probe().map((versions) -> {
			handle(new AdmissionEvent.BackendUp(versions, this.settings.agent().orElseThrow().slots()));
			return true;
		}).onErrorReturnItem(false);
	}

	private void onProbeResult(boolean alive) {
		this.failedProbes = alive ? 0 : this.failedProbes + 1;
		if (this.failedProbes == FAILED_PROBES_UNTIL_DOWN) {
			LOG.warn("backend server does not answer");
			handle(new AdmissionEvent.BackendDown());
		}
		Frame.Status status = statusFrame();
		this.entries.values().forEach((link) -> this.announcer.sendChanges(link.peer(), status, link::send));
	}

	private void onTick() {
		handle(new AdmissionEvent.Tick());
		synchronized (this) {
			for (AgentRecord line : this.heldLines.takeDue(this.clock.millis(), this.entries.keySet())) {
				this.ledger.append(new LedgerEntry.AttemptEntry(line));
			}
		}
	}

	private Completable awaitRecorded() {
		return Flowable.interval(TICK_MILLIS, TimeUnit.MILLISECONDS)
			.takeUntil((tick) -> heldRequestCount() == 0 || this.entries.isEmpty())
			.ignoreElements()
			.timeout(2, TimeUnit.SECONDS)
			.onErrorComplete();
	}

	private synchronized void appendHeldLines() {
		this.heldLines.takeAll().forEach((line) -> this.ledger.append(new LedgerEntry.AttemptEntry(line)));
	}

	private synchronized List<SuspectContent> suspectContents() {
		return this.admission.suspects();
	}

	private synchronized int heldRequestCount() {
		return this.heldLines.requestCount();
	}

	private synchronized LoadReport loadReport() {
		return this.admission.load();
	}

	private synchronized Frame.Status statusFrame() {
		AgentInfo info = new AgentInfo(this.settings.node(), this.settings.region(), this.settings.dataCenter(),
				this.admission.versions(), this.admission.load());
		return new Frame.Status(info, this.admission.isDraining());
	}

	private Frame.InForce inForceFrame() {
		return new Frame.InForce(this.templates.revisionNumbers());
	}

}
