package org.gullsaddle.gateway;

import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;

import io.vertx.core.Vertx;

import org.gullsaddle.base.Json;
import org.gullsaddle.base.NodeId;
import org.gullsaddle.fleet.FleetChange;
import org.gullsaddle.serve.Peer;
import org.gullsaddle.store.Store;

/**
 * Registry of the nodes of this deployment. Each node writes a note in the store and
 * refreshes it periodically. A node is removed when it missed several refreshes while the
 * store was available: limits that nodes divide by their number are then divided by too
 * many for a while, never by too few. Confined to the event loop.
 */
final class NodeRegistry {

	static final String NOTE_PREFIX = "gullsaddle/nodes/";

	/**
	 * Delay before a note that may not have been written is written again, in
	 * milliseconds.
	 */
	private static final long RETRY_DELAY_MILLIS = 1000;

	/** Interval at which a node refreshes its note, in milliseconds. */
	private static final long REFRESH_INTERVAL_MILLIS = 600_000;

	/** Refreshes that a node may miss before it is removed. */
	private static final int MAX_MISSED_REFRESHES = 3;

	/**
	 * Time that nodes need to read each other's notes, in milliseconds: nodes that start
	 * together do not know each other at once.
	 */
	private static final long SETTLING_MILLIS = 2000;

	private final Vertx vertx;

	private final NodeId self;

	private final String place;

	private final NodeNoteWriter note;

	private final BooleanSupplier storeUnavailable;

	private final Map<NodeId, Peer> nodes = new TreeMap<>();

	private final Map<NodeId, Integer> missedRefreshes = new HashMap<>();

	/** The nodes; the same list object until they change. */
	private List<Peer> peers = List.of();

	private long registeredAt;

	private boolean started;

	NodeRegistry(Vertx vertx, Store store, GatewaySettings settings, BooleanSupplier storeAway) {
		this.vertx = vertx;
		this.self = new NodeId(settings.node());
		this.place = settings.place().dataCenter();
		this.note = new NodeNoteWriter(store, NOTE_PREFIX + this.self);
		this.storeUnavailable = storeAway;
	}

	/**
	 * Handles a change of the deployment or a peer's note.
	 */
	void onFleetChange(FleetChange change) {
		if (change instanceof FleetChange.NoteWritten noted && noted.key().startsWith(NOTE_PREFIX)) {
			parse(noted).ifPresent(this::onNote);
		}
		if (change instanceof FleetChange.Configured && !this.started) {
			this.started = true;
			// Changes that were read together with the configuration are applied first.
			this.vertx.runOnContext((nothing) -> register());
			this.vertx.setPeriodic(REFRESH_INTERVAL_MILLIS, (timer) -> refresh());
		}
	}

	/**
	 * Parses a note. One without a location or with invalid JSON still counts as a node,
	 * since that node takes its share.
	 */
	private static Optional<Peer> parse(FleetChange.NoteWritten noted) {
		try {
			NodeId node = new NodeId(noted.key().substring(NOTE_PREFIX.length()));
			return Optional.of(new Peer(node, dataCenter(noted.value())));
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	private static String dataCenter(String note) {
		try {
			return Json.tree(note).path("dataCenter").asText("");
		}
		catch (IOException ex) {
			return "";
		}
	}

	private void onNote(Peer peer) {
		this.missedRefreshes.put(peer.node(), 0);
		if (peer.node().equals(this.self) && !isRegistered()) {
			this.registeredAt = MonotonicClock.millis();
		}
		if (!peer.equals(this.nodes.put(peer.node(), peer))) {
			this.peers = List.copyOf(this.nodes.values());
		}
	}

	private void register() {
		if (!new Peer(this.self, this.place).equals(this.nodes.get(this.self))) {
			write();
		}
	}

	/**
	 * Refreshes this node's note and removes nodes that have missed too many refreshes.
	 */
	void refresh() {
		if (this.storeUnavailable.getAsBoolean()) {
			return;
		}
		Set<NodeId> gone = new HashSet<>();
		this.missedRefreshes.replaceAll((node, times) -> times + 1);
		this.missedRefreshes.forEach((node, times) -> {
			if (times > MAX_MISSED_REFRESHES && !node.equals(this.self)) {
				gone.add(node);
			}
		});
		this.missedRefreshes.keySet().removeAll(gone);
		if (this.nodes.keySet().removeAll(gone)) {
			this.peers = List.copyOf(this.nodes.values());
		}
		write();
	}

	private void write() {
		if (!this.note.isBusy()) {
			String value = Json.write(Map.of("dataCenter", this.place));
			this.note.write(value, () -> this.vertx.setTimer(RETRY_DELAY_MILLIS, (timer) -> write()));
		}
	}

	/**
	 * Returns the number of known nodes, or empty while peers may not count this one.
	 */
	Optional<Integer> knownCount() {
		return isRegistered() ? Optional.of(this.nodes.size()) : Optional.empty();
	}

	/**
	 * Returns the nodes, or empty while they may not all know each other yet.
	 */
	Optional<List<Peer>> peers() {
		boolean settled = isRegistered() && MonotonicClock.millis() - this.registeredAt >= SETTLING_MILLIS;
		return settled ? Optional.of(this.peers) : Optional.empty();
	}

	private boolean isRegistered() {
		return this.nodes.containsKey(this.self);
	}

}
