package org.gullsaddle.gateway;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import io.vertx.core.Vertx;

import org.gullsaddle.fleet.FleetChange;
import org.gullsaddle.fleet.FleetConfig;
import org.gullsaddle.store.Store;

/**
 * Counts the nodes of this deployment by a note of each in the store. A note stays when
 * its node is gone: what nodes share out by their number is then shared too thinly, never
 * too thickly.
 */
final class NodeRegister {

	static final String NOTES = "gullsaddle/nodes/";

	/** When a note is written again that the store may not have, in milliseconds. */
	private static final long AGAIN_MILLIS = 1000;

	private final Vertx vertx;

	private final String key;

	private final NodeNote note;

	private final Set<String> nodes = new HashSet<>();

	private boolean needed;

	NodeRegister(Vertx vertx, Store store, String node) {
		this.vertx = vertx;
		this.key = NOTES + node;
		this.note = new NodeNote(store, this.key);
	}

	/**
	 * Takes in a change of the deployment, or another node's note.
	 */
	void learned(FleetChange change) {
		if (change instanceof FleetChange.Noted noted && noted.key().startsWith(NOTES)) {
			this.nodes.add(noted.key());
		}
		if (change instanceof FleetChange.Configured configured && !this.needed && counts(configured.config())) {
			this.needed = true;
			// What was read together with the configuration is taken in first.
			this.vertx.runOnContext((nothing) -> write());
		}
	}

	/**
	 * Each note is a call to the store that is paid for, so that nodes are only counted
	 * where they share something out.
	 */
	private static boolean counts(FleetConfig config) {
		return config.services().stream().anyMatch((service) -> service.coldStart().limited());
	}

	private void write() {
		if (registered() || this.note.busy()) {
			return;
		}
		this.note.write("{}", () -> this.vertx.setTimer(AGAIN_MILLIS, (timer) -> write()));
	}

	/**
	 * Returns how many nodes there are or were, or empty while the others may not count
	 * this one.
	 */
	Optional<Integer> known() {
		return registered() ? Optional.of(this.nodes.size()) : Optional.empty();
	}

	private boolean registered() {
		return this.nodes.contains(this.key);
	}

}
