package org.gullsaddle.controller;

import java.io.IOException;
import java.net.URI;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.ext.web.client.WebClientOptions;
import io.vertx.rxjava3.core.Vertx;
import io.vertx.rxjava3.ext.web.client.WebClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.gullsaddle.base.Address;
import org.gullsaddle.base.Json;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.outbound.AnswerValidator;
import org.gullsaddle.settings.Role;
import org.gullsaddle.settings.Settings;
import org.gullsaddle.wire.Frame;
import org.gullsaddle.wire.PeerDialer;
import org.gullsaddle.wire.PeerLink;
import org.gullsaddle.wire.PeerListener;

/**
 * Maintains links to all peers on the platform's VM list. Thread-safe.
 * <p>
 * The list lags behind: it may hold VMs that are gone and lack new ones. It is used only
 * to find nodes to dial and nodes that are leaving; whether a node is alive is determined
 * by its link.
 */
public final class MemberController {

	private static final Logger LOG = LoggerFactory.getLogger(MemberController.class);

	private static final long READ_TIMEOUT_MILLIS = 1000;

	/** Largest list of VMs, in bytes. */
	private static final long MAX_LIST_BYTES = 16 << 20;

	private final WebClient client;

	private final URI url;

	private final long pollMillis;

	private final NodeId self;

	private final PeerDialer dialer;

	private final PeerListener listener;

	private final Consumer<NodeId> leavingListener;

	private final Map<NodeId, PeerLink> links = new HashMap<>();

	private final Set<NodeId> dialing = new HashSet<>();

	private volatile Set<NodeId> listed = Set.of();

	private volatile Set<NodeId> entries = Set.of();

	/**
	 * Creates a controller.
	 * @param vertx the Vert.x instance
	 * @param settings the node's settings
	 * @param dialer dials the peers
	 * @param listener receives the events of all links
	 * @param leavingListener is called on each reading with every node listed as leaving
	 */
	public MemberController(Vertx vertx, Settings settings, PeerDialer dialer, PeerListener listener,
			Consumer<NodeId> leavingListener) {
		this.url = settings.vms().url();
		this.pollMillis = settings.vms().pollMillis();
		this.self = settings.node();
		this.dialer = dialer;
		this.listener = listener;
		this.leavingListener = leavingListener;
		// On a kept connection a late second answer would be taken for the next list.
		this.client = AnswerValidator.createWebClient(vertx,
				new WebClientOptions().setDefaultHost(this.url.getHost()).setDefaultPort(this.url.getPort()),
				MAX_LIST_BYTES);
	}

	/**
	 * Reads the list periodically and dials unlinked nodes, until cancelled.
	 * @return a completable that never completes
	 */
	public Completable run() {
		return Flowable.interval(0, this.pollMillis, TimeUnit.MILLISECONDS)
			.onBackpressureDrop()
			.concatMapCompletable((tick) -> readList().doOnSuccess(this::applyList)
				.ignoreElement()
				.doOnError(
						(failure) -> LOG.atDebug().addKeyValue("reason", failure.getMessage()).log("VM list not read"))
				.onErrorComplete());
	}

	/**
	 * Returns the link to a node.
	 * @param node the node
	 * @return the link, or null if there is none
	 */
	public synchronized PeerLink link(NodeId node) {
		return this.links.get(node);
	}

	/**
	 * Returns all established links.
	 * @return a snapshot
	 */
	public synchronized Map<NodeId, PeerLink> links() {
		return Map.copyOf(this.links);
	}

	/**
	 * Returns the nodes on the list as last read, except this node.
	 * @return the nodes
	 */
	public Set<NodeId> listed() {
		return this.listed;
	}

	/**
	 * Returns the entries on the list as last read, except this node.
	 * @return the entries
	 */
	public Set<NodeId> entries() {
		return this.entries;
	}

	private Single<JsonNode> readList() {
		return this.client.get(this.url.getPath())
			.rxSend()
			.timeout(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
			.map((response) -> Json.tree(response.bodyAsString()));
	}

	private void applyList(JsonNode list) throws IOException {
		Set<NodeId> listedNodes = new HashSet<>();
		Set<NodeId> listedEntries = new HashSet<>();
		for (JsonNode vm : list) {
			NodeId node = new NodeId(vm.path("id").asText());
			if (node.equals(this.self)) {
				continue;
			}
			listedNodes.add(node);
			if (vm.path("role").asText().equals(Role.ENTRY.toString())) {
				listedEntries.add(node);
			}
			if (vm.path("state").asText().equals("leaving")) {
				this.leavingListener.accept(node);
			}
			dial(node, Address.of(vm.path("address").asText()));
		}
		this.listed = Set.copyOf(listedNodes);
		this.entries = Set.copyOf(listedEntries);
	}

	private void dial(NodeId node, Address address) {
		synchronized (this) {
			if (this.links.containsKey(node) || !this.dialing.add(node)) {
				return;
			}
		}
		this.dialer.dial(address, new DialListener(node)).onFailure((failure) -> onDialEnd(node));
	}

	private synchronized void onDialEnd(NodeId node) {
		this.dialing.remove(node);
	}

	/**
	 * Handles the events of one dialed link and passes them on.
	 */
	private final class DialListener implements PeerListener {

		private final NodeId node;

		DialListener(NodeId node) {
			this.node = node;
		}

		@Override
		public void onLinkUp(PeerLink link) {
			if (!link.peer().equals(this.node)) {
				LOG.atWarn()
					.addKeyValue("listed", this.node)
					.addKeyValue("peer", link.peer())
					.log("listed name differs from the peer's");
				link.close();
				return;
			}
			synchronized (MemberController.this) {
				MemberController.this.dialing.remove(this.node);
				MemberController.this.links.put(link.peer(), link);
			}
			MemberController.this.listener.onLinkUp(link);
		}

		@Override
		public void onFrame(PeerLink link, Frame frame) {
			MemberController.this.listener.onFrame(link, frame);
		}

		@Override
		public void onLinkDown(PeerLink link) {
			synchronized (MemberController.this) {
				MemberController.this.links.remove(link.peer(), link);
			}
			if (link.peer().equals(this.node)) {
				MemberController.this.listener.onLinkDown(link);
			}
			else {
				onLinkFailed(link);
			}
		}

		@Override
		public void onLinkFailed(PeerLink link) {
			onDialEnd(this.node);
		}

	}

}
