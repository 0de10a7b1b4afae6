package org.gullsaddle.daemon;

import java.io.IOException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Collectors;

import io.reactivex.rxjava3.core.Completable;
import io.vertx.core.Future;
import io.vertx.ext.web.Router;
import io.vertx.rxjava3.core.Vertx;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.gullsaddle.backend.AgentNode;
import org.gullsaddle.base.Address;
import org.gullsaddle.base.TemplateName;
import org.gullsaddle.controller.LedgerController;
import org.gullsaddle.controller.TemplateController;
import org.gullsaddle.entry.EntryNode;
import org.gullsaddle.entry.EntryServer;
import org.gullsaddle.settings.Role;
import org.gullsaddle.settings.Settings;
import org.gullsaddle.store.EtcdStore;
import org.gullsaddle.store.Store;
import org.gullsaddle.telemetry.NodeClock;
import org.gullsaddle.telemetry.StatusRoutes;
import org.gullsaddle.telemetry.Telemetry;
import org.gullsaddle.wire.PeerDialer;
import org.gullsaddle.wire.PeerIdentity;
import org.gullsaddle.wire.PeerListener;
import org.gullsaddle.wire.PeerServer;

/**
 * One node of the system.
 *
 * <pre>
 * try (Daemon daemon = Daemon.of(Settings.load(file)).start()) {
 *     daemon.drain();
 * }
 * </pre>
 */
public final class Daemon implements AutoCloseable {

	/**
	 * Interval at which metrics of templates that do not exist are dropped, in
	 * milliseconds.
	 */
	private static final long CLEANUP_INTERVAL_MILLIS = 1000;

	private static final Logger LOG = LoggerFactory.getLogger(Daemon.class);

	private static final long START_SECONDS = 20;

	private final Settings settings;

	private final Vertx vertx = Vertx.vertx();

	private final NodeClock clock = new NodeClock();

	private final Telemetry telemetry = new Telemetry();

	private EntryNode entry;

	private EntryServer entryServer;

	private AgentNode agent;

	private Daemon(Settings settings) {
		this.settings = settings;
	}

	/**
	 * Makes a node that does nothing yet.
	 * @param settings its settings
	 * @return the node
	 */
	public static Daemon of(Settings settings) {
		return new Daemon(settings);
	}

	/**
	 * Starts the node.
	 * @return this node, listening
	 * @throws IOException if it cannot listen where its settings say
	 */
	public Daemon start() throws IOException {
		Settings.Store at = this.settings.store();
		Store store = new EtcdStore(this.vertx, at.url(), at.timeoutMillis());
		TemplateController templates = new TemplateController(store, at.prefix(), this.clock);
		if (this.settings.role() == Role.ENTRY) {
			startEntry(store, templates);
		}
		else {
			startAgent(store, templates);
		}
		LOG.atInfo().addKeyValue("node", this.settings.node()).addKeyValue("role", this.settings.role()).log("started");
		return this;
	}

	/**
	 * Stops gracefully: takes no new work and waits until what is under way has ended.
	 * @return true if all ended within the time that the settings give
	 */
	public boolean drain() {
		Completable drained = (this.entry != null) ? this.entry.drain() : this.agent.drain();
		boolean ended = drained.timeout(this.settings.stopMillis(), TimeUnit.MILLISECONDS)
			.toSingleDefault(true)
			.onErrorReturn((failure) -> {
				LOG.atError().addKeyValue("reason", failure.getMessage()).log("stopped with work left");
				return false;
			})
			.blockingGet();
		LOG.atInfo().addKeyValue("node", this.settings.node()).addKeyValue("whole", ended).log("stopped");
		return ended;
	}

	@Override
	public void close() {
		if (this.entry != null) {
			this.entry.stop();
		}
		if (this.agent != null) {
			this.agent.stop();
		}
		this.vertx.close().blockingAwait(START_SECONDS, TimeUnit.SECONDS);
	}

	private void startEntry(Store store, TemplateController templates) throws IOException {
		PeerIdentity self = new PeerIdentity(this.settings.node(), Role.ENTRY, this.settings.peers().key(), this.clock,
				templates::storeAgeMillis);
		PeerDialer dialer = new PeerDialer(this.vertx.getDelegate(), self);
		this.entry = new EntryNode(this.vertx, this.settings, this.clock, this.telemetry, templates, store, dialer);
		listen(self, this.entry.inboundPeerListener());
		this.entry.start();
		this.vertx.setPeriodic(CLEANUP_INTERVAL_MILLIS, (timer) -> dropMetricsOfUnknownTemplates(templates));
		this.entryServer = new EntryServer(this.entry);
		await(this.entryServer.listen());
	}

	/**
	 * Callers name templates, so requests that were refused may have named any.
	 */
	private void dropMetricsOfUnknownTemplates(TemplateController templates) {
		this.telemetry.retain("template",
				templates.allTemplates().keySet().stream().map(TemplateName::value).collect(Collectors.toSet()));
	}

	private void startAgent(Store store, TemplateController templates) throws IOException {
		PeerIdentity self = new PeerIdentity(this.settings.node(), Role.AGENT, this.settings.peers().key(), this.clock,
				() -> -1);
		String run = this.settings.run(this.clock.wallMillis());
		LedgerController ledger = new LedgerController(store, this.settings.store().prefix(), this.clock, run,
				(requests) -> LOG.atInfo().addKeyValue("lines", requests.size()).log("held lines written"));
		this.agent = new AgentNode(this.vertx, this.settings, this.clock, this.telemetry, templates, ledger);
		listen(self, this.agent);
		this.agent.start();
		if (this.settings.agent().orElseThrow().status().isPresent()) {
			Router router = Router.router(this.vertx.getDelegate());
			StatusRoutes.add(router, this.telemetry, this.agent::isReady);
			Address address = this.settings.agent().orElseThrow().status().get();
			await(this.vertx.getDelegate()
				.createHttpServer()
				.requestHandler(router)
				.listen(address.port(), address.host()));
		}
	}

	private void listen(PeerIdentity self, PeerListener listener) throws IOException {
		await(new PeerServer(this.vertx.getDelegate(), self, listener).listen(this.settings.peers().listen()));
	}

	private static <T> T await(Future<T> future) throws IOException {
		try {
			return future.toCompletionStage().toCompletableFuture().get(START_SECONDS, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("interrupted while starting", ex);
		}
		catch (ExecutionException ex) {
			throw new IOException(ex.getCause().getMessage(), ex.getCause());
		}
		catch (TimeoutException ex) {
			throw new IOException("did not listen within " + START_SECONDS + " s", ex);
		}
	}

}
