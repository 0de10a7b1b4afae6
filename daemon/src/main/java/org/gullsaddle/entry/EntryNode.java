package org.gullsaddle.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.vertx.core.Vertx;
import io.vertx.ext.web.RoutingContext;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.gullsaddle.allowance.AllowanceTable;
import org.gullsaddle.allowance.GrantCoordinator;
import org.gullsaddle.allowance.Permit;
import org.gullsaddle.base.AttemptId;
import org.gullsaddle.base.Dispatch;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.base.Refusal;
import org.gullsaddle.base.RequestId;
import org.gullsaddle.base.TemplateName;
import org.gullsaddle.base.Verdict;
import org.gullsaddle.controller.GrantController;
import org.gullsaddle.controller.LedgerController;
import org.gullsaddle.controller.LedgerReader;
import org.gullsaddle.controller.MemberController;
import org.gullsaddle.controller.RegisterController;
import org.gullsaddle.controller.TemplateController;
import org.gullsaddle.ledger.AttemptRecord;
import org.gullsaddle.ledger.LedgerEntry;
import org.gullsaddle.ledger.RequestRecord;
import org.gullsaddle.rollout.Halt;
import org.gullsaddle.route.Router;
import org.gullsaddle.route.RouterEvent;
import org.gullsaddle.route.RouterSettings;
import org.gullsaddle.settings.Role;
import org.gullsaddle.settings.Settings;
import org.gullsaddle.store.Store;
import org.gullsaddle.suspect.SuspectContent;
import org.gullsaddle.telemetry.NodeClock;
import org.gullsaddle.telemetry.Telemetry;
import org.gullsaddle.template.ConfigFreshness;
import org.gullsaddle.template.TemplateRevision;
import org.gullsaddle.wire.Frame;
import org.gullsaddle.wire.PeerDialer;
import org.gullsaddle.wire.PeerLink;
import org.gullsaddle.wire.PeerListener;

/**
 * The entry node: connects the router's shards with the peers, the store, the ledger, the
 * allowances and the HTTP APIs.
 */
public final class EntryNode implements PeerListener, EntryServices {

	private static final Logger LOG = LoggerFactory.getLogger(EntryNode.class);

	private static final long SHARD_TICK_MILLIS = 50;

	/**
	 * Interval at which register operations that could not reach the store are retried,
	 * in milliseconds. Nothing else retries a failed operation: an order would wait until
	 * its deadline, and a claim that is not completed would hold its key for a day.
	 */
	private static final long REGISTER_RETRY_MILLIS = 200;

	private static final long FLUSH_MILLIS = 200;

	private static final int CLAIM_SHARDS = 16;

	private static final int SESSION_SHARDS = 16;

	private static final long CLAIM_RETENTION_MILLIS = TimeUnit.HOURS.toMillis(24);

	private static final long SESSION_RETENTION_MILLIS = TimeUnit.HOURS.toMillis(24);

	/** Time the load balancer has to notice that this node is not ready. */
	private static final long BALANCER_NOTICE_MILLIS = 500;

	private final Vertx vertx;

	private final Settings settings;

	private final NodeClock clock;

	private final Telemetry telemetry;

	private final TemplateController templates;

	private final LedgerController ledger;

	private final LedgerReader ledgerReader;

	private final AllowanceTable allowances = new AllowanceTable();

	private final GrantController grants;

	private final RegisterController claimRegister;

	private final RegisterController sessionRegister;

	private final ClaimRegistry claims;

	private final SessionRegistry sessions;

	private final RatingClient ratingService;

	private final MemberController members;

	private final List<RouterShard> shards = new ArrayList<>();

	private final Map<RequestId, Permit> permits = new ConcurrentHashMap<>();

	private final Map<RequestId, Set<NodeId>> recordHolders = new ConcurrentHashMap<>();

	private final HeldCopyTable heldCopies;

	private final Map<NodeId, Map<TemplateName, Long>> revisionsInForce = new ConcurrentHashMap<>();

	private final Map<String, Halt> halts = new ConcurrentHashMap<>();

	private final CompositeDisposable subscriptions = new CompositeDisposable();

	private volatile boolean leaving;

	private volatile boolean stopping;

	private final UnansweredCalls unansweredCalls = new UnansweredCalls();

	private volatile boolean cutOff;

	/**
	 * Creates an entry node; {@link #start} starts it.
	 * @param vertx the Vert.x instance to run on
	 * @param settings the node's settings, of the role entry
	 * @param clock the node's clocks
	 * @param telemetry the node's metrics
	 * @param templates the templates in force
	 * @param store the platform's store
	 * @param dialer opens connections to the other nodes
	 */
	public EntryNode(io.vertx.rxjava3.core.Vertx vertx, Settings settings, NodeClock clock, Telemetry telemetry,
			TemplateController templates, Store store, PeerDialer dialer) {
		this.vertx = vertx.getDelegate();
		this.settings = settings;
		this.clock = clock;
		this.telemetry = telemetry;
		this.templates = templates;
		Settings.Entry entry = settings.entry().orElseThrow();
		String prefix = settings.store().prefix();
		String run = settings.run(clock.wallMillis());
		this.ledger = new LedgerController(store, prefix, clock, run, this::onRecorded);
		this.heldCopies = new HeldCopyTable(this.ledger, clock);
		this.ledgerReader = new LedgerReader(store, prefix);
		this.grants = new GrantController(store, prefix, clock,
				new GrantCoordinator(new NodeId(run), entry.grantMillis(), this.allowances));
		this.claimRegister = new RegisterController(store, prefix + "claims/", clock, CLAIM_SHARDS,
				CLAIM_RETENTION_MILLIS);
		this.sessionRegister = new RegisterController(store, prefix + "sessions/", clock, SESSION_SHARDS,
				SESSION_RETENTION_MILLIS);
		this.claims = new ClaimRegistry(this.claimRegister);
		this.sessions = new SessionRegistry(this.sessionRegister, entry.sessionKey());
		this.ratingService = new RatingClient(vertx, entry.ratingUrl());
		this.members = new MemberController(vertx, settings, dialer, this, this::onAgentLeaving);
		RouterSettings routing = RouterSettings.builder(settings.region(), settings.dataCenter()).build();
		for (int i = 0; i < entry.shards(); i++) {
			this.shards.add(new RouterShard(new Router(routing, new Random()), this, clock));
		}
		templates.addListener(this::onTemplateChanged);
	}

	/**
	 * Starts the periodic tasks that follow the store, the VM list and the clock.
	 */
	public void start() {
		this.subscriptions.add(this.templates.run(Flowable.interval(1, TimeUnit.SECONDS)).subscribe());
		this.subscriptions.add(this.members.run().subscribe());
		this.subscriptions
			.add(this.grants.run(Flowable.interval(FLUSH_MILLIS, 1000, TimeUnit.MILLISECONDS)).subscribe());
		this.subscriptions.add(this.ledger.run(Flowable.interval(FLUSH_MILLIS, TimeUnit.MILLISECONDS)).subscribe());
		this.subscriptions.add(Flowable.interval(SHARD_TICK_MILLIS, TimeUnit.MILLISECONDS)
			.onBackpressureDrop()
			.subscribe((tick) -> tickShards()));
		this.subscriptions.add(Flowable.interval(REGISTER_RETRY_MILLIS, TimeUnit.MILLISECONDS)
			.onBackpressureDrop()
			.subscribe((tick) -> tickRegisters()));
		this.subscriptions
			.add(Flowable.interval(1, TimeUnit.SECONDS).onBackpressureDrop().subscribe((tick) -> updateFreshness()));
		this.telemetry.gauge("requests.open", this::openRequestCount);
		this.telemetry.gauge("ledger.waiting", this.ledger::pendingCount);
		this.telemetry.gauge("links", () -> this.members.links().size());
	}

	/**
	 * Stops gracefully: reports not ready to the load balancer, lets open requests end,
	 * writes the ledger, and gives the allowances back.
	 * @return completes when all of this is done
	 */
	public Completable drain() {
		return Completable.fromAction(this::markNotReady)
			.delay(BALANCER_NOTICE_MILLIS, TimeUnit.MILLISECONDS)
			.andThen(Completable.fromAction(this::stopAccepting))
			.andThen(Flowable.interval(SHARD_TICK_MILLIS, TimeUnit.MILLISECONDS)
				.takeUntil((tick) -> this.unansweredCalls.count() == 0 && openRequestCount() == 0)
				.ignoreElements())
			.andThen(Completable.fromAction(this.heldCopies::writeAll))
			.andThen(Completable.defer(this.ledger::flushUntilWritten))
			.andThen(Completable.defer(() -> this.grants.releaseAll().onErrorComplete()));
	}

	/**
	 * Returns the listener for links that other entries open to this node.
	 * @return the listener
	 */
	public PeerListener inboundPeerListener() {
		return new InboundPeerListener(this);
	}

	/**
	 * Stops immediately, without waiting for open requests.
	 */
	public void stop() {
		this.subscriptions.dispose();
	}

	/**
	 * Returns whether the load balancer should send callers to this node.
	 * @return true if templates are known, an agent is linked and the node is not
	 * stopping
	 */
	public boolean isReady() {
		return !this.leaving && !this.templates.allTemplates().isEmpty()
				&& this.members.links().values().stream().anyMatch((link) -> link.peerRole() == Role.AGENT);
	}

	@Override
	public void onLinkUp(PeerLink link) {
		link.send(new Frame.Templates(List.copyOf(this.templates.allTemplates().values())));
		if (link.peerRole() == Role.ENTRY) {
			sendSuspects(link);
		}
	}

	@Override
	public void onLinkDown(PeerLink link) {
		this.revisionsInForce.remove(link.peer());
		if (link.peerRole() == Role.AGENT) {
			handleInAllShards(new RouterEvent.AgentDown(link.peer()));
		}
	}

	@Override
	public void onFrame(PeerLink link, Frame frame) {
		switch (frame) {
			case Frame.Status status -> {
				handleInAllShards(new RouterEvent.AgentUp(status.agent()));
				if (status.leaving()) {
					onAgentLeaving(link.peer());
				}
			}
			case Frame.Load load -> handleInAllShards(new RouterEvent.AgentLoadReported(link.peer(), load.load()));
			case Frame.Leaving leavingFrame -> onAgentLeaving(link.peer());
			case Frame.Accepted accepted ->
				handleInShard(accepted.attempt(), new RouterEvent.AttemptAccepted(accepted.attempt()));
			case Frame.Refused refused ->
				handleInShard(refused.attempt(), new RouterEvent.AttemptRefused(refused.attempt(), refused.refusal()));
			case Frame.Chunk chunk -> handleInShard(chunk.attempt(),
					new RouterEvent.AttemptChunk(chunk.attempt(), chunk.offset(), chunk.text()));
			case Frame.Done done -> handleInShard(done.attempt(),
					new RouterEvent.AttemptDone(done.attempt(), done.completion(), done.length()));
			case Frame.Failed failed -> handleInShard(failed.attempt(), new RouterEvent.AttemptFailed(failed.attempt(),
					failed.verdict(), failed.crashed(), failed.usage()));
			case Frame.Copy copy -> {
				this.heldCopies.hold(copy.line());
				link.send(new Frame.CopyHeld(copy.line().line().attempt()));
			}
			case Frame.Recorded recorded -> this.heldCopies.onRecorded(recorded.requests());
			case Frame.Templates pushed -> {
				pushed.revisions().forEach(this.templates::apply);
				link.send(new Frame.InForce(this.templates.revisionNumbers()));
			}
			case Frame.InForce revisions -> this.revisionsInForce.put(link.peer(), Map.copyOf(revisions.revisions()));
			case Frame.Halted halted -> {
				this.halts.put(halted.halt().template() + " " + halted.halt().version(), halted.halt());
				handleInAllShards(new RouterEvent.HaltAnnounced(halted.halt()));
			}
			case Frame.Suspect suspect -> handleInAllShards(new RouterEvent.SuspectAnnounced(suspect.suspicion()));
			default -> LOG.atDebug().addKeyValue("frame", frame.getClass().getSimpleName()).log("frame ignored");
		}
	}

	@Override
	public ClaimRegistry claims() {
		return this.claims;
	}

	@Override
	public SessionRegistry sessions() {
		return this.sessions;
	}

	@Override
	public RatingClient ratingClient() {
		return this.ratingService;
	}

	@Override
	public boolean dispatch(NodeId agent, Dispatch dispatch) {
		PeerLink link = this.members.link(agent);
		if (link == null) {
			return false;
		}
		link.send(new Frame.Dispatched(dispatch));
		return true;
	}

	@Override
	public void send(NodeId agent, Frame frame) {
		PeerLink link = this.members.link(agent);
		if (link != null) {
			link.send(frame);
		}
	}

	@Override
	public void announceSuspect(SuspectContent suspicion) {
		announce(new RouterEvent.SuspectAnnounced(suspicion), new Frame.Suspect(suspicion));
	}

	@Override
	public void announceHalt(Halt halt) {
		LOG.atWarn()
			.addKeyValue("template", halt.template())
			.addKeyValue("version", halt.version())
			.addKeyValue("reason", halt.reason())
			.log("version halted until its template is changed");
		this.halts.put(halt.template() + " " + halt.version(), halt);
		this.telemetry.count("halts");
		announce(new RouterEvent.HaltAnnounced(halt), new Frame.Halted(halt));
	}

	@Override
	public void writeRecordBeforeAnswer(RequestRecord record) {
		this.ledger.append(new LedgerEntry.RequestEntry(record));
	}

	@Override
	public void writeRecord(RequestRecord record) {
		Set<NodeId> agents = new HashSet<>();
		record.attempts().stream().map(AttemptRecord::agent).forEach(agents::add);
		if (!agents.isEmpty()) {
			this.recordHolders.put(record.request(), agents);
		}
		this.ledger.append(new LedgerEntry.RequestEntry(record));
		Permit permit = this.permits.remove(record.request());
		if (permit != null) {
			this.allowances.release(permit, record.costMicros());
		}
		LOG.atInfo()
			.addKeyValue("request", record.request())
			.addKeyValue("team", record.team())
			.addKeyValue("template", record.template())
			.addKeyValue("outcome", record.outcome())
			.addKeyValue("verdict", record.verdict())
			.addKeyValue("attempts", record.attempts().size())
			.addKeyValue("costMicros", record.costMicros())
			.log("request ended");
	}

	Exchange newExchange(RoutingContext context) {
		return new Exchange(context, new RequestId(UUID.randomUUID().toString()), this.clock.now());
	}

	void onAccepted(Exchange exchange) {
		if (exchange.permit() != null) {
			this.permits.put(exchange.id(), exchange.permit());
		}
	}

	/**
	 * Writes a ledger record for a request that a filter refused. A request whose team,
	 * template or deadline is not known is only counted.
	 */
	void recordFilterRefusal(Exchange exchange, Refusal refusal) {
		if (exchange.permit() != null) {
			this.allowances.release(exchange.permit(), 0);
		}
		if (exchange.team() == null || exchange.template() == null || exchange.deadline() == 0) {
			this.telemetry.count("unrouted." + refusal.reason());
			return;
		}
		this.telemetry.outcome(exchange.template(), exchange.team(), refusal.reason().toString());
		if (this.ledger.hasCapacity()) {
			String session = (exchange.session() != null) ? exchange.session().value() : null;
			this.ledger.append(new LedgerEntry.RequestEntry(new RequestRecord(exchange.id(), exchange.team(),
					exchange.template(), session, exchange.arrival().stamp(), "none", List.of(), Verdict.NOT_RUN,
					refusal.reason().toString(), 0, this.clock.stamp())));
		}
	}

	RouterShard shardOf(RequestId request) {
		return this.shards.get(Math.floorMod(request.hashCode(), this.shards.size()));
	}

	Optional<TemplateRevision> findTemplate(TemplateName name) {
		return this.templates.find(name);
	}

	boolean hasLedgerCapacity() {
		return this.ledger.hasCapacity();
	}

	boolean isStopping() {
		return this.stopping;
	}

	boolean isCutOff() {
		return this.cutOff;
	}

	Vertx vertx() {
		return this.vertx;
	}

	NodeClock clock() {
		return this.clock;
	}

	Telemetry telemetry() {
		return this.telemetry;
	}

	TemplateController templates() {
		return this.templates;
	}

	AllowanceTable allowances() {
		return this.allowances;
	}

	MemberController members() {
		return this.members;
	}

	LedgerReader ledgerReader() {
		return this.ledgerReader;
	}

	Settings settings() {
		return this.settings;
	}

	UnansweredCalls unansweredCalls() {
		return this.unansweredCalls;
	}

	int openRequestCount() {
		return this.shards.stream().mapToInt(RouterShard::openRequestCount).sum();
	}

	/**
	 * Counts the nodes on which the revision or a later one is in force, and the nodes
	 * that should have it; this node counts in both.
	 */
	InForceCount countInForce(TemplateName name, long revision) {
		Set<NodeId> expected = new HashSet<>(this.members.listed());
		expected.addAll(this.members.links().keySet());
		Set<NodeId> missing = new HashSet<>();
		for (NodeId node : expected) {
			if (this.revisionsInForce.getOrDefault(node, Map.of()).getOrDefault(name, 0L) < revision) {
				missing.add(node);
			}
		}
		boolean inForceHere = this.templates.find(name).map((current) -> current.revision() >= revision).orElse(false);
		int self = inForceHere ? 1 : 0;
		return new InForceCount(expected.size() - missing.size() + self, expected.size() + 1, missing);
	}

	/**
	 * Passes an event to this node's shards and a frame to all other entries. The shards
	 * handle it on another thread, since the calling shard holds its lock.
	 */
	private void announce(RouterEvent event, Frame frame) {
		this.shards.forEach((shard) -> Schedulers.computation().scheduleDirect(() -> shard.handle(event)));
		this.members.links()
			.values()
			.stream()
			.filter((link) -> link.peerRole() == Role.ENTRY)
			.forEach((link) -> link.send(frame));
	}

	/**
	 * Returns the halts that still apply: the template has not changed since.
	 */
	List<Halt> activeHalts() {
		return this.halts.values()
			.stream()
			.filter((halt) -> this.templates.find(halt.template())
				.map((current) -> current.revision() <= halt.revision())
				.orElse(true))
			.toList();
	}

	private void onTemplateChanged(TemplateRevision revision) {
		this.allowances.applyTemplate(revision.template(), this.clock.millis());
		// Agents get the revision before the shards do, since an agent refuses a
		// dispatch under a revision that it does not know.
		Frame frame = new Frame.Templates(List.of(revision));
		this.members.links().values().forEach((link) -> link.send(frame));
		handleInAllShards(new RouterEvent.TemplateChanged(revision));
	}

	private void onAgentLeaving(NodeId agent) {
		handleInAllShards(new RouterEvent.AgentLeaving(agent));
	}

	private void handleInShard(AttemptId attempt, RouterEvent event) {
		shardOf(attempt.request()).handle(event);
	}

	private void handleInAllShards(RouterEvent event) {
		this.shards.forEach((shard) -> shard.handle(event));
	}

	private void tickShards() {
		handleInAllShards(new RouterEvent.Tick());
	}

	private void tickRegisters() {
		this.claimRegister.tick();
		this.sessionRegister.tick();
	}

	private void updateFreshness() {
		Map<NodeId, PeerLink> links = this.members.links();
		List<ConfigFreshness.Peer> peers = new ArrayList<>();
		for (NodeId node : this.members.entries()) {
			PeerLink link = links.get(node);
			boolean reachable = link != null;
			peers.add(new ConfigFreshness.Peer(reachable, reachable ? link.storeAgeMillis() : Long.MAX_VALUE));
		}
		boolean isCutOff = ConfigFreshness.isCutOff(this.templates.storeAgeMillis(),
				this.settings.entry().orElseThrow().cutOffMillis(), peers);
		if (isCutOff != this.cutOff) {
			this.cutOff = isCutOff;
			LOG.atWarn().addKeyValue("cutOff", isCutOff).log("configuration freshness changed");
			handleInAllShards(new RouterEvent.FreshnessChanged(isCutOff));
		}
	}

	private void onRecorded(List<RequestId> requests) {
		Map<NodeId, List<RequestId>> byAgent = new HashMap<>();
		for (RequestId request : requests) {
			shardOf(request).handle(new RouterEvent.RecordStored(request));
			Set<NodeId> agents = this.recordHolders.remove(request);
			if (agents != null) {
				agents.forEach((agent) -> byAgent.computeIfAbsent(agent, (id) -> new ArrayList<>()).add(request));
			}
		}
		byAgent.forEach((agent, stored) -> send(agent, new Frame.Recorded(stored)));
	}

	/**
	 * Sends the suspect contents to an entry that may have just started and does not know
	 * them.
	 */
	void sendSuspects(PeerLink link) {
		this.shards.get(0).suspects().forEach((suspicion) -> link.send(new Frame.Suspect(suspicion)));
	}

	private void markNotReady() {
		this.leaving = true;
		LOG.info("leaving: not ready any more");
	}

	private void stopAccepting() {
		this.stopping = true;
	}

	/**
	 * The number of nodes on which a revision is in force, the number that should have
	 * it, and the nodes that lack it.
	 */
	record InForceCount(int currentNodes, int expectedNodes, Set<NodeId> missing) {
	}

}
