package org.gullsaddle.gateway;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;

import org.gullsaddle.base.NodeId;
import org.gullsaddle.fleet.FleetChange;
import org.gullsaddle.fleet.FleetConfig;
import org.gullsaddle.fleet.ReplicaId;
import org.gullsaddle.fleet.RouteKind;
import org.gullsaddle.inbound.InboundConnections;
import org.gullsaddle.serve.AttemptEnd;
import org.gullsaddle.serve.BackpressureTable;
import org.gullsaddle.serve.ColdReplicaLimiter;
import org.gullsaddle.serve.ReplicaEligibility;
import org.gullsaddle.store.Store;
import org.gullsaddle.telemetry.Telemetry;

/**
 * One gateway node.
 *
 * <pre>
 * Gateway gateway = Gateway.builder(settings)
 *     .source(source, stateWriter)
 *     .store(store)
 *     .codec(codec)
 *     .build(vertx);
 * gateway.start();
 * ...
 * gateway.drain();
 * </pre>
 */
public final class Gateway {

	/** Interval at which open requests are checked, in milliseconds. */
	private static final long TICK_INTERVAL_MILLIS = 50;

	/**
	 * Interval at which state of unlisted replicas is cleaned up, in milliseconds.
	 */
	private static final long CLEANUP_INTERVAL_MILLIS = 1000;

	/**
	 * Idle time after which a caller's connection is closed, in seconds: longer than any
	 * caller is told to keep one.
	 */
	private static final int CALLER_IDLE_TIMEOUT_SECONDS = 75;

	/** Interval at which callers' connections are checked, in milliseconds. */
	private static final long CONNECTION_CHECK_INTERVAL_MILLIS = 250;

	/** Largest head that the HTTP decoder accepts, in bytes. */
	static final int MAX_HEADER_BYTES = 65_536;

	private final Vertx vertx;

	private final GatewaySettings settings;

	private final HeaderCodec codec;

	private final DecisionLog log = new DecisionLog();

	private final Telemetry telemetry = new Telemetry();

	private final StepGuard guard = new StepGuard(this.log, this.telemetry);

	private final FleetState fleet;

	private final SharedRoutingState routingState;

	private final RetryController retries;

	private final RetryAfterAdvisor retryAfterAdvisor;

	private final ColdReplicaLimiter coldReplicaLimiter;

	private final ReplicaConnections replicaConnections;

	private final LoadProbe loadProbe;

	private final FleetPoller poller;

	private final ConfigRefresher configRefresher;

	private final NodeRegistry nodeRegistry;

	private final ReplicaEligibility replicaEligibility;

	private final RolloutController rollouts;

	private final CrashController crashes;

	private final BackpressureController backpressure;

	private final BufferManager buffers;

	private final InboundConnections inbound;

	private final StallDetector stallDetector = new StallDetector();

	private final Set<RequestExecution> openRequests = new LinkedHashSet<>();

	private final InFlightRequests inFlight = new InFlightRequests();

	private final CallerConnections connections = new CallerConnections();

	private HttpServer server;

	private final DrainPolicy drainPolicy = new DrainPolicy();

	private final Promise<Void> stopped = Promise.promise();

	private final RequestDispatcher dispatcher;

	private final StateCleaner stateCleaner;

	private Gateway(Builder builder, Vertx vertx) {
		this.vertx = vertx;
		this.settings = builder.settings;
		this.codec = builder.codec;
		this.fleet = new FleetState(this.settings.rolloutLimits());
		this.buffers = new BufferManager(this.settings.load(), this.log, this.telemetry);
		this.routingState = new SharedRoutingState(this.settings.place(), this.settings.load().pressure());
		this.retryAfterAdvisor = new RetryAfterAdvisor(this.settings.load().pressure(), this.telemetry);
		this.coldReplicaLimiter = new ColdReplicaLimiter(this.settings.node());
		this.replicaConnections = new ReplicaConnections(vertx);
		this.nodeRegistry = new NodeRegistry(vertx, builder.store, this.settings,
				() -> this.fleet.directory().storeUnreachable());
		this.retries = new RetryController(this.settings.retryLimits(),
				() -> this.nodeRegistry.peers().map(List::size).orElse(0), this.log, this.telemetry);
		BackpressureTable backpressureTable = new BackpressureTable(new NodeId(this.settings.node()),
				this.settings.place(), this.nodeRegistry::peers, RandomGenerator.getDefault());
		this.backpressure = new BackpressureController(vertx, builder.store, this.fleet, backpressureTable, this.log,
				this.telemetry);
		this.loadProbe = new LoadProbe(vertx, this.replicaConnections, this.codec, this.routingState.replicaSelector(),
				this.backpressure, this.log);
		this.crashes = new CrashController(vertx, builder.store, this.settings.node(), this.replicaConnections,
				this.routingState, this.nodeRegistry, this.log, this.telemetry);
		this.replicaEligibility = new ReplicaEligibility(this.fleet.directory(), this.settings.place(),
				this.coldReplicaLimiter, backpressureTable, this.crashes.crashTracker());
		this.rollouts = new RolloutController(vertx, builder.stateWriter, builder.store, this.settings.node(),
				this.fleet, this.routingState.replicaSelector(), this.log, this.guard);
		this.dispatcher = new RequestDispatcher(vertx, this);
		this.inbound = InboundFactory.create(this);
		this.poller = new FleetPoller(vertx, builder.source, this.fleet, this.log, this::onFleetChange,
				this.settings.maxPropagationMillis(), this.crashes::awaitsCrashNotes, this.guard);
		this.configRefresher = new ConfigRefresher(builder.source, this.fleet, this.settings.maxPropagationMillis(),
				this::onFleetChange, this.log, this.telemetry, this.guard);
		this.stateCleaner = stateCleaner();
	}

	/**
	 * Creates a builder.
	 * @param settings the gateway's settings
	 * @return a builder
	 */
	public static Builder builder(GatewaySettings settings) {
		return new Builder(settings);
	}

	private StateCleaner stateCleaner() {
		return new StateCleaner(this.fleet, this.guard)
			.replicas("load clean-up", this.routingState.replicaSelector()::retain)
			.replicas("silence clean-up", this.routingState.silentReplicaPolicy()::retain)
			.replicas("cold replica clean-up", this.coldReplicaLimiter::retain)
			.replicas("back-pressure clean-up", this.backpressure::retain)
			.names("routing clean-up", this.routingState::retain)
			.names("retry budget clean-up", (names) -> this.retries.retain(names.services()))
			.names("promise clean-up",
					(names) -> this.backpressure.backpressureTable().retainServices(names.services()))
			.names("retry time clean-up", (names) -> this.retryAfterAdvisor.retain(names.services()))
			.names("roll-out clean-up", (names) -> this.rollouts.cleanUp())
			.names("metrics clean-up", (names) -> StateCleaner.retainMetrics(this.telemetry, names));
	}

	private void registerGauges() {
		this.telemetry.gauge("open.requests", this.openRequests::size);
		this.telemetry.gauge("open.connections", this.inbound::count);
		this.telemetry.gauge("unanswered.requests", this.inFlight::count);
		this.telemetry.gauge("held.requests", this.dispatcher::heldCount);
		this.telemetry.gauge("replicas.known", () -> this.fleet.directory().knownIds().size());
		this.telemetry.gauge("replicas.cold", () -> this.fleet.directory().coldCount(MonotonicClock.millis()));
		this.telemetry.gauge("replicas.telling.pace", this.routingState.replicaSelector()::countReportedSlowdowns);
		this.telemetry.gauge("data.centers.evacuated", () -> this.fleet.directory().evacuatedDataCenters().size());
		this.telemetry.gauge("nodes.known", () -> this.nodeRegistry.knownCount().orElse(0));
		this.telemetry.gauge("config.unreadable", () -> this.fleet.hasUnreadableConfig() ? 1 : 0);
		this.telemetry.gauge("config.age.milliseconds", () -> this.fleet.configAgeMillis(MonotonicClock.millis()));
		this.telemetry.gauge("config.version", this::configVersion);
		this.telemetry.gauge("fleet.age.milliseconds", () -> this.fleet.ageMillis(MonotonicClock.millis()));
		this.telemetry.gauge("log.lines.left.out", this.log::omittedLines);
		this.telemetry.gauge("retries.saved", this.retries::savedRetries);
		this.telemetry.gauge("probes.sent", this.loadProbe::sentCount);
		this.telemetry.gauge("probes.failed", this.loadProbe::failedCount);
		this.buffers.registerGauges();
	}

	/**
	 * Starts to listen and to read the platform's store.
	 * @return completes when callers can connect
	 */
	public Future<Void> start() {
		HttpServerOptions options = new HttpServerOptions().setMaxHeaderSize(MAX_HEADER_BYTES)
			.setMaxInitialLineLength(MAX_HEADER_BYTES)
			.setIdleTimeout(CALLER_IDLE_TIMEOUT_SECONDS)
			.setTcpNoDelay(true)
			.setTcpKeepAlive(true)
			.setReuseAddress(true)
			.setHandle100ContinueAutomatically(true)
			.setDecompressionSupported(false)
			.setHttp2ClearTextEnabled(false)
			.setAcceptBacklog(EarlyListener.BACKLOG);
		this.server = this.vertx.createHttpServer(options)
			.connectionHandler(this::onConnection)
			.requestHandler(this::onRequest);
		registerGauges();
		this.poller.start();
		this.rollouts.start();
		this.vertx.setTimer(StartupRequestQueue.HOLD_MILLIS, (timer) -> this.dispatcher.releaseHeld());
		this.stallDetector.check(MonotonicClock.millis());
		this.vertx.setPeriodic(TICK_INTERVAL_MILLIS, (timer) -> tick());
		this.vertx.setPeriodic(CONNECTION_CHECK_INTERVAL_MILLIS, (timer) -> InboundFactory.check(this));
		this.vertx.setPeriodic(CLEANUP_INTERVAL_MILLIS, (timer) -> this.stateCleaner.run());
		return this.server.listen(this.settings.callerAddress().port(), this.settings.callerAddress().host())
			.compose((listening) -> StatusServer.listen(this.vertx, this))
			.onSuccess((nothing) -> this.log.started(this.settings.node(), this.settings.place().dataCenter()));
	}

	private void onConnection(HttpConnection connection) {
		this.connections.onOpened(connection, !this.drainPolicy.acceptsAll(MonotonicClock.millis()));
		this.inbound.onOpened(connection);
	}

	private void onRequest(HttpServerRequest request) {
		RequestBodyReader reader = new RequestBodyReader(this, request);
		this.inFlight.add(request, reader);
		if (!this.guard.run("request", reader::begin)) {
			reader.refuseFailed();
		}
	}

	/**
	 * Stops gracefully: reports not ready to the load balancer, still accepts all
	 * requests for a moment, then only those that end before the process does. Further
	 * calls change nothing: the process ends when the first one said.
	 * @return completes when nothing is open or the stop timeout is over
	 */
	public Future<Void> drain() {
		this.vertx.runOnContext((nothing) -> {
			if (!this.drainPolicy.hasBegun()) {
				beginDrain();
			}
		});
		return this.stopped.future();
	}

	private void beginDrain() {
		this.drainPolicy.begin(MonotonicClock.millis(), this.settings.stopTimeoutMillis());
		this.log.stopping(this.inFlight.count());
		this.vertx.setTimer(DrainPolicy.ACCEPT_ALL_MILLIS,
				(timer) -> this.vertx.setPeriodic(TICK_INTERVAL_MILLIS, this::stopIfIdle));
	}

	private void stopIfIdle(long tick) {
		long now = MonotonicClock.millis();
		if (!this.inFlight.isEmpty() && !this.drainPolicy.isOver(now)) {
			return;
		}
		this.vertx.cancelTimer(tick);
		this.drainPolicy.stopAccepting();
		this.log.stopped(this.inFlight.count());
		List.copyOf(this.openRequests).forEach(RequestExecution::abort);
		this.poller.stop();
		this.connections.close()
			.timeout(this.drainPolicy.flushMillis(now), TimeUnit.MILLISECONDS)
			.onFailure((failure) -> this.log.callersNotClosed(failure.getMessage()))
			.onComplete((closed) -> this.stopped.complete());
	}

	/**
	 * Handles a failure that no caller of the failed code could handle.
	 * @param failure the failure
	 */
	public void onUncaught(Throwable failure) {
		this.vertx.runOnContext((nothing) -> this.guard.onFailure("callback", failure));
	}

	/**
	 * Logs that the settings were reloaded.
	 * @param what what has changed
	 */
	public void onSettingsReloaded(String what) {
		this.log.reloaded(what);
	}

	/**
	 * Returns whether the node is ready for callers.
	 * @return true once the configuration and the replicas are known, until a stop
	 */
	public boolean isReady() {
		return !isStopping() && this.fleet.config().isPresent() && this.fleet.directory().isLoaded();
	}

	/**
	 * Returns whether a replica is listed.
	 * @param replica its id
	 * @return true if it is
	 */
	public boolean knowsReplica(String replica) {
		return this.fleet.directory().find(new ReplicaId(replica)).isPresent();
	}

	/**
	 * Returns the largest possible age of the node's view of the deployment.
	 * @return the time since the platform was last read, in milliseconds
	 */
	public long fleetAgeMillis() {
		return this.fleet.ageMillis(MonotonicClock.millis());
	}

	/**
	 * Returns the version of the configuration in force.
	 * @return the version, 0 if none is known
	 */
	public long configVersion() {
		return this.fleet.config().map(FleetConfig::version).orElse(0L);
	}

	/**
	 * Returns whether a newer configuration exists that cannot be parsed.
	 * @return true until a valid one is in force
	 */
	public boolean hasUnreadableConfig() {
		return this.fleet.hasUnreadableConfig();
	}

	/**
	 * Returns the number of requests that wait for the configuration after the start.
	 * @return the number
	 */
	public int heldRequestCount() {
		return this.dispatcher.heldCount();
	}

	void onOpened(RequestExecution serving) {
		this.inFlight.onExecutionStarted(serving.request().http());
		this.openRequests.add(serving);
		this.retryAfterAdvisor.onOpened(serving.request());
		this.rollouts.recordRequest(serving.request());
	}

	void onAttemptEnded(RequestExecution serving, Attempt attempt, AttemptEnd end, long now) {
		long millis = now - attempt.startedAt();
		this.routingState.replicaSelector().onAttemptEnded(now, attempt.choice(), end);
		this.crashes.onEnded(serving.request(), serving.model(), attempt, end);
		this.log.attempt(serving.request(), attempt, serving.model(), end.toString(), millis, serving.timing(),
				!(end instanceof AttemptEnd.Answered answered) || answered.hasFailed());
		this.telemetry.attempt(serving.service().value(), end.metricLabel());
		if (serving.timing().hasBegun() && serving.route().kind() == RouteKind.STREAM) {
			this.routingState.deadlineCheck().recordAnswerStarted(now, serving.service());
			long first = serving.timing().firstEventMillis(now);
			this.telemetry.firstEvent(serving.route().name(), serving.model(), first);
			this.telemetry.delayError(serving.service().value(), serving.model(),
					first - Math.round(attempt.choice().delay().expectedMillis()));
		}
		if (end instanceof AttemptEnd.NotRun notRun && notRun.unreachable()) {
			this.rollouts.onUnreachable(attempt.choice().replica());
		}
	}

	void onClosed(RequestExecution serving, String outcome, int status, String reason) {
		this.openRequests.remove(serving);
		long now = MonotonicClock.millis();
		DecisionLog.RequestLine line = serving.requestLine(outcome, status, reason, now, this.fleet.ageMillis(now));
		this.log.request(line);
		this.retryAfterAdvisor.onClosed(serving.request(), line.attempts() > 0 && !outcome.equals("refused"));
		this.telemetry.request(serving.route().name(), serving.request().teamName(), outcome, line.millis());
	}

	private void onFleetChange(FleetChange change) {
		if (change instanceof FleetChange.Configured) {
			// Replicas that were read together with it are applied first.
			this.vertx.runOnContext((nothing) -> this.dispatcher.releaseHeld());
		}
		this.guard.run("nodes", () -> this.nodeRegistry.onFleetChange(change));
		this.guard.run("roll-outs", () -> this.rollouts.onFleetChange(change));
		this.guard.run("crashes", () -> this.crashes.onFleetChange(change));
		this.guard.run("back-pressure", () -> this.backpressure.onFleetChange(change));
	}

	private void tick() {
		long now = MonotonicClock.millis();
		this.guard.run("suspension check", () -> this.configRefresher.checkForSuspension(now));
		this.guard.run("stall check", () -> checkForStall(now));
		if (!this.openRequests.isEmpty()) {
			List.copyOf(this.openRequests).forEach((serving) -> tick(serving, now));
		}
		if (this.drainPolicy.shouldAnswerNow(now)) {
			this.inFlight.waiting().forEach(RequestBodyReader::refuseStopping);
		}
		this.guard.run("buffer check", () -> this.buffers.check(now));
		this.guard.run("crash check", () -> this.crashes.check(now));
	}

	private void checkForStall(long now) {
		long stalled = this.stallDetector.check(now);
		if (stalled > 0) {
			this.log.nodeStalled(stalled, this.openRequests.size());
		}
	}

	private void tick(RequestExecution serving, long now) {
		if (!this.guard.run("request check", () -> serving.tick(now))) {
			serving.onInternalError();
		}
	}

	boolean isStopping() {
		return this.drainPolicy.hasBegun();
	}

	DrainPolicy drainPolicy() {
		return this.drainPolicy;
	}

	FleetState fleet() {
		return this.fleet;
	}

	SharedRoutingState routingState() {
		return this.routingState;
	}

	RetryController retries() {
		return this.retries;
	}

	RetryAfterAdvisor retryAfterAdvisor() {
		return this.retryAfterAdvisor;
	}

	CallerConnections connections() {
		return this.connections;
	}

	RequestDispatcher dispatcher() {
		return this.dispatcher;
	}

	NodeRegistry nodeRegistry() {
		return this.nodeRegistry;
	}

	ReplicaEligibility replicaEligibility() {
		return this.replicaEligibility;
	}

	StallDetector stallDetector() {
		return this.stallDetector;
	}

	ConfigRefresher configRefresher() {
		return this.configRefresher;
	}

	RolloutController rollouts() {
		return this.rollouts;
	}

	CrashController crashes() {
		return this.crashes;
	}

	BackpressureController backpressure() {
		return this.backpressure;
	}

	StepGuard guard() {
		return this.guard;
	}

	DecisionLog log() {
		return this.log;
	}

	InboundConnections inbound() {
		return this.inbound;
	}

	BufferManager buffers() {
		return this.buffers;
	}

	ReplicaConnections replicaConnections() {
		return this.replicaConnections;
	}

	LoadProbe loadProbe() {
		return this.loadProbe;
	}

	HeaderCodec codec() {
		return this.codec;
	}

	GatewaySettings settings() {
		return this.settings;
	}

	Telemetry telemetry() {
		return this.telemetry;
	}

	/**
	 * Collects a {@link Gateway}'s parts.
	 */
	public static final class Builder {

		private final GatewaySettings settings;

		private FleetSource source;

		private Store store;

		private RolloutStateWriter stateWriter;

		private HeaderCodec codec;

		private Builder(GatewaySettings settings) {
			this.settings = settings;
		}

		/**
		 * Sets the source of information about the deployment.
		 * @param newSource the source
		 * @param newStateWriter the writer of roll-out states
		 * @return this builder
		 */
		public Builder source(FleetSource newSource, RolloutStateWriter newStateWriter) {
			this.source = newSource;
			this.stateWriter = newStateWriter;
			return this;
		}

		/**
		 * Sets the store for notes between nodes.
		 * @param newStore the store
		 * @return this builder
		 */
		public Builder store(Store newStore) {
			this.store = newStore;
			return this;
		}

		/**
		 * Sets how headers are translated.
		 * @param newCodec the codec
		 * @return this builder
		 */
		public Builder codec(HeaderCodec newCodec) {
			this.codec = newCodec;
			return this;
		}

		/**
		 * Builds the gateway.
		 * @param vertx the Vert.x instance to run on, with one event loop
		 * @return the gateway, not started
		 */
		public Gateway build(Vertx vertx) {
			return new Gateway(this, vertx);
		}

	}

}
