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
 * The entry: holds its parts together.
 */
public final class EntryNode implements PeerListener, EntryServices {

	private static final Logger LOG = LoggerFactory.getLogger(EntryNode.class);

	private static final long TICK_MILLIS = 50;

	/**
	 * How often registers are tried again that could not reach the store, in
	 * milliseconds. Nothing else wakes an operation that failed: an order would wait for
	 * its deadline, and a claim that is not settled would hold its key for a day.
	 */
	private static final long REGISTER_TICK_MILLIS = 200;

	private static final long FLUSH_MILLIS = 200;

	private static final int CLAIM_SHARDS = 16;

	private static final int SESSION_SHARDS = 16;

	private static final long CLAIM_RETENTION_MILLIS = TimeUnit.HOURS.toMillis(24);

	private static final long SESSION_RETENTION_MILLIS = TimeUnit.HOURS.toMillis(24);

	/** How long the balancer has to notice that this node is not ready. */
	private static final long NOTICE_MILLIS = 500;

	private final Vertx vertx;

	private final Settings settings;

	private final NodeClock clock;

	private final Telemetry telemetry;

	private final TemplateController templates;

	private final LedgerController ledger;

	private final LedgerReader reader;

	private final AllowanceTable allowances = new AllowanceTable();

	private final GrantController grants;

	private final RegisterController claimRegister;

	private final RegisterController sessionRegister;

	private final Claims claims;

	private final Sessions sessions;

	private final Rater rater;

	private final MemberController members;

	private final List<RouterShard> shards = new ArrayList<>();

	private final Map<RequestId, Permit> permits = new ConcurrentHashMap<>();

	private final Map<RequestId, Set<NodeId>> holders = new ConcurrentHashMap<>();

	private final HeldCopies copies;

	private final Map<NodeId, Map<TemplateName, Long>> inForce = new ConcurrentHashMap<>();

	private final Map<String, Halt> halts = new ConcurrentHashMap<>();

	private final CompositeDisposable loops = new CompositeDisposable();

	private volatile boolean leaving;

	private volatile boolean stopping;

	private volatile boolean cutOff;

	/**
	 * Makes an entry that does nothing yet.
	 * @param vertx where to run
	 * @param settings the node's settings, of the role entry
	 * @param clock the node's clocks
	 * @param telemetry the node's metrics
	 * @param templates the templates in force
	 * @param store the platform's store
	 * @param dialer dials the other nodes
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
		this.ledger = new LedgerController(store, prefix, clock, run, this::recorded);
		this.copies = new HeldCopies(this.ledger, clock);
		this.reader = new LedgerReader(store, prefix);
		this.grants = new GrantController(store, prefix, clock,
				new GrantCoordinator(new NodeId(run), entry.grantMillis(), this.allowances));
		this.claimRegister = new RegisterController(store, prefix + "claims/", clock, CLAIM_SHARDS,
				CLAIM_RETENTION_MILLIS);
		this.sessionRegister = new RegisterController(store, prefix + "sessions/", clock, SESSION_SHARDS,
				SESSION_RETENTION_MILLIS);
		this.claims = new Claims(this.claimRegister);
		this.sessions = new Sessions(this.sessionRegister, entry.sessionKey());
		this.rater = new Rater(vertx, entry.ratingUrl());
		this.members = new MemberController(vertx, settings, dialer, this, this::agentLeaving);
		RouterSettings routing = RouterSettings.builder(settings.region(), settings.dataCenter()).build();
		for (int i = 0; i < entry.shards(); i++) {
			this.shards.add(new RouterShard(new Router(routing, new Random()), this, clock));
		}
		templates.addListener(this::templateChanged);
	}

	/**
	 * Starts following the store, the VM list and the time.
	 */
	public void start() {
		this.loops.add(this.templates.run(Flowable.interval(1, TimeUnit.SECONDS)).subscribe());
		this.loops.add(this.members.run().subscribe());
		this.loops.add(this.grants.run(Flowable.interval(FLUSH_MILLIS, 1000, TimeUnit.MILLISECONDS)).subscribe());
		this.loops.add(this.ledger.run(Flowable.interval(FLUSH_MILLIS, TimeUnit.MILLISECONDS)).subscribe());
		this.loops.add(
				Flowable.interval(TICK_MILLIS, TimeUnit.MILLISECONDS).onBackpressureDrop().subscribe((tick) -> tick()));
		this.loops.add(Flowable.interval(REGISTER_TICK_MILLIS, TimeUnit.MILLISECONDS)
			.onBackpressureDrop()
			.subscribe((tick) -> tickRegisters()));
		this.loops
			.add(Flowable.interval(1, TimeUnit.SECONDS).onBackpressureDrop().subscribe((tick) -> checkFreshness()));
		this.telemetry.gauge("requests.open", this::openRequests);
		this.telemetry.gauge("ledger.waiting", this.ledger::pendingCount);
		this.telemetry.gauge("links", () -> this.members.links().size());
	}

	/**
	 * Stops gracefully: the balancer is told, requests under way end, the ledger is
	 * written, and the allowances are given back.
	 * @return done when all that is
	 */
	public Completable drain() {
		return Completable.fromAction(this::leave)
			.delay(NOTICE_MILLIS, TimeUnit.MILLISECONDS)
			.andThen(Completable.fromAction(this::refuseNew))
			.andThen(Flowable.interval(TICK_MILLIS, TimeUnit.MILLISECONDS)
				.takeUntil((tick) -> openRequests() == 0)
				.ignoreElements())
			.andThen(Completable.fromAction(this.copies::writeAll))
			.andThen(Completable.defer(this.ledger::flushUntilWritten))
			.andThen(Completable.defer(() -> this.grants.releaseAll().onErrorComplete()));
	}

	/**
	 * Returns who hears of links that other entries dial to this node.
	 * @return the listener
	 */
	public PeerListener peers() {
		return new AcceptedPeers(this);
	}

	/**
	 * Stops at once.
	 */
	public void stop() {
		this.loops.dispose();
	}

	/**
	 * Says whether callers should be sent here.
	 * @return true if templates are known, an agent is linked and the node is not
	 * stopping
	 */
	public boolean ready() {
		return !this.leaving && !this.templates.allTemplates().isEmpty()
				&& this.members.links().values().stream().anyMatch((link) -> link.peerRole() == Role.AGENT);
	}

	@Override
	public void onLinkUp(PeerLink link) {
		link.send(new Frame.Templates(List.copyOf(this.templates.allTemplates().values())));
		if (link.peerRole() == Role.ENTRY) {
			tellSuspects(link);
		}
	}

	@Override
	public void onLinkDown(PeerLink link) {
		this.inForce.remove(link.peer());
		if (link.peerRole() == Role.AGENT) {
			everywhere(new RouterEvent.AgentDown(link.peer()));
		}
	}

	@Override
	public void onFrame(PeerLink link, Frame frame) {
		switch (frame) {
			case Frame.Status status -> {
				everywhere(new RouterEvent.AgentUp(status.agent()));
				if (status.leaving()) {
					agentLeaving(link.peer());
				}
			}
			case Frame.Load load -> everywhere(new RouterEvent.AgentLoadReported(link.peer(), load.load()));
			case Frame.Leaving gone -> agentLeaving(link.peer());
			case Frame.Accepted accepted ->
				attempt(accepted.attempt(), new RouterEvent.AttemptAccepted(accepted.attempt()));
			case Frame.Refused refused ->
				attempt(refused.attempt(), new RouterEvent.AttemptRefused(refused.attempt(), refused.refusal()));
			case Frame.Chunk chunk ->
				attempt(chunk.attempt(), new RouterEvent.AttemptChunk(chunk.attempt(), chunk.offset(), chunk.text()));
			case Frame.Done done ->
				attempt(done.attempt(), new RouterEvent.AttemptDone(done.attempt(), done.completion(), done.length()));
			case Frame.Failed failed -> attempt(failed.attempt(), new RouterEvent.AttemptFailed(failed.attempt(),
					failed.verdict(), failed.crashed(), failed.usage()));
			case Frame.Copy copy -> {
				this.copies.hold(copy.line());
				link.send(new Frame.CopyHeld(copy.line().line().attempt()));
			}
			case Frame.Recorded others -> this.copies.recorded(others.requests());
			case Frame.Templates pushed -> {
				pushed.revisions().forEach(this.templates::apply);
				link.send(new Frame.InForce(this.templates.revisionNumbers()));
			}
			case Frame.InForce revisions -> this.inForce.put(link.peer(), Map.copyOf(revisions.revisions()));
			case Frame.Halted halted -> {
				this.halts.put(halted.halt().template() + " " + halted.halt().version(), halted.halt());
				everywhere(new RouterEvent.HaltAnnounced(halted.halt()));
			}
			case Frame.Suspect suspect -> everywhere(new RouterEvent.SuspectAnnounced(suspect.suspicion()));
			default -> LOG.atDebug().addKeyValue("frame", frame.getClass().getSimpleName()).log("frame ignored");
		}
	}

	@Override
	public Claims claims() {
		return this.claims;
	}

	@Override
	public Sessions sessions() {
		return this.sessions;
	}

	@Override
	public Rater rater() {
		return this.rater;
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
	public void suspect(SuspectContent suspicion) {
		tellOthers(new RouterEvent.SuspectAnnounced(suspicion), new Frame.Suspect(suspicion));
	}

	@Override
	public void halted(Halt halt) {
		LOG.atWarn()
			.addKeyValue("template", halt.template())
			.addKeyValue("version", halt.version())
			.addKeyValue("reason", halt.reason())
			.log("version halted until its template is changed");
		this.halts.put(halt.template() + " " + halt.version(), halt);
		this.telemetry.count("halts");
		tellOthers(new RouterEvent.HaltAnnounced(halt), new Frame.Halted(halt));
	}

	@Override
	public void keepRecord(RequestRecord record) {
		this.ledger.append(new LedgerEntry.RequestEntry(record));
	}

	@Override
	public void record(RequestRecord record) {
		Set<NodeId> agents = new HashSet<>();
		record.attempts().stream().map(AttemptRecord::agent).forEach(agents::add);
		if (!agents.isEmpty()) {
			this.holders.put(record.request(), agents);
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

	Exchange exchange(RoutingContext context) {
		return new Exchange(context, new RequestId(UUID.randomUUID().toString()), this.clock.now());
	}

	void accepted(Exchange exchange) {
		if (exchange.permit() != null) {
			this.permits.put(exchange.id(), exchange.permit());
		}
	}

	/**
	 * Records a request that a filter refused, once it is known whose it is.
	 */
	void refusedAtOnce(Exchange exchange, Refusal refusal) {
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

	RouterShard shard(RequestId request) {
		return this.shards.get(Math.floorMod(request.hashCode(), this.shards.size()));
	}

	Optional<TemplateRevision> template(TemplateName name) {
		return this.templates.find(name);
	}

	boolean ledgerHasRoom() {
		return this.ledger.hasCapacity();
	}

	boolean stopping() {
		return this.stopping;
	}

	boolean cutOff() {
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

	LedgerReader reader() {
		return this.reader;
	}

	Settings settings() {
		return this.settings;
	}

	int openRequests() {
		return this.shards.stream().mapToInt(RouterShard::openRequests).sum();
	}

	/**
	 * Returns the nodes on which a revision, or a later one, is in force, and all that
	 * should have it.
	 */
	InForceCount inForce(TemplateName name, long revision) {
		Set<NodeId> expected = new HashSet<>(this.members.listed());
		expected.addAll(this.members.links().keySet());
		Set<NodeId> missing = new HashSet<>();
		for (NodeId node : expected) {
			if (this.inForce.getOrDefault(node, Map.of()).getOrDefault(name, 0L) < revision) {
				missing.add(node);
			}
		}
		boolean here = this.templates.find(name).map((held) -> held.revision() >= revision).orElse(false);
		int self = here ? 1 : 0;
		return new InForceCount(expected.size() - missing.size() + self, expected.size() + 1, missing);
	}

	/**
	 * Tells this node's shards, in their own time as one of them is telling, and all
	 * other entries.
	 */
	private void tellOthers(RouterEvent event, Frame frame) {
		this.shards.forEach((shard) -> Schedulers.computation().scheduleDirect(() -> shard.handle(event)));
		this.members.links()
			.values()
			.stream()
			.filter((link) -> link.peerRole() == Role.ENTRY)
			.forEach((link) -> link.send(frame));
	}

	/**
	 * Returns the versions that this node gives no new work.
	 */
	List<Halt> halts() {
		return this.halts.values()
			.stream()
			.filter((halt) -> this.templates.find(halt.template())
				.map((held) -> held.revision() <= halt.revision())
				.orElse(true))
			.toList();
	}

	private void templateChanged(TemplateRevision revision) {
		this.allowances.applyTemplate(revision.template(), this.clock.millis());
		// The agents hear of it first: a dispatch under a revision that its agent does
		// not know
		// would be refused.
		Frame frame = new Frame.Templates(List.of(revision));
		this.members.links().values().forEach((link) -> link.send(frame));
		everywhere(new RouterEvent.TemplateChanged(revision));
	}

	private void agentLeaving(NodeId agent) {
		everywhere(new RouterEvent.AgentLeaving(agent));
	}

	private void attempt(AttemptId attempt, RouterEvent event) {
		shard(attempt.request()).handle(event);
	}

	private void everywhere(RouterEvent event) {
		this.shards.forEach((shard) -> shard.handle(event));
	}

	private void tick() {
		everywhere(new RouterEvent.Tick());
	}

	private void tickRegisters() {
		this.claimRegister.tick();
		this.sessionRegister.tick();
	}

	private void checkFreshness() {
		Map<NodeId, PeerLink> links = this.members.links();
		List<ConfigFreshness.Peer> peers = new ArrayList<>();
		for (NodeId node : this.members.entries()) {
			PeerLink link = links.get(node);
			boolean reachable = link != null;
			peers.add(new ConfigFreshness.Peer(reachable, reachable ? link.storeAgeMillis() : Long.MAX_VALUE));
		}
		boolean now = ConfigFreshness.isCutOff(this.templates.storeAgeMillis(),
				this.settings.entry().orElseThrow().cutOffMillis(), peers);
		if (now != this.cutOff) {
			this.cutOff = now;
			LOG.atWarn().addKeyValue("cutOff", now).log("configuration freshness changed");
			everywhere(new RouterEvent.FreshnessChanged(now));
		}
	}

	private void recorded(List<RequestId> requests) {
		Map<NodeId, List<RequestId>> byAgent = new HashMap<>();
		for (RequestId request : requests) {
			shard(request).handle(new RouterEvent.RecordStored(request));
			Set<NodeId> agents = this.holders.remove(request);
			if (agents != null) {
				agents.forEach((agent) -> byAgent.computeIfAbsent(agent, (id) -> new ArrayList<>()).add(request));
			}
		}
		byAgent.forEach((agent, list) -> send(agent, new Frame.Recorded(list)));
	}

	/**
	 * Tells an entry that may have just started what it must not run.
	 */
	void tellSuspects(PeerLink link) {
		this.shards.get(0).suspects().forEach((suspicion) -> link.send(new Frame.Suspect(suspicion)));
	}

	private void leave() {
		this.leaving = true;
		LOG.info("leaving: not ready any more");
	}

	private void refuseNew() {
		this.stopping = true;
	}

	/**
	 * On how many nodes a revision is in force.
	 */
	record InForceCount(int nodes, int of, Set<NodeId> missing) {
	}

}
