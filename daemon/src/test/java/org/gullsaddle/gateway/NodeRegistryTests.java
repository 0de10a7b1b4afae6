package org.gullsaddle.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.gullsaddle.base.Address;
import org.gullsaddle.fleet.FleetChange;
import org.gullsaddle.serve.NodeLocation;
import org.gullsaddle.serve.RetryLimits;
import org.gullsaddle.serve.RolloutLimits;
import org.gullsaddle.store.Store;

import static org.assertj.core.api.Assertions.assertThat;

class NodeRegistryTests {

	private static final String SELF = "self";

	private static final String PEER = "other";

	/** Refreshes of its own after which a node removes a peer that wrote no note. */
	private static final int ROUNDS = 4;

	private final Vertx vertx = Vertx.vertx();

	private final RecordingStore store = new RecordingStore();

	private boolean storeUnavailable;

	private NodeRegistry registry;

	@BeforeEach
	void open() {
		Address nowhere = new Address("127.0.0.1", 1);
		GatewaySettings settings = new GatewaySettings(SELF, new NodeLocation("a", Map.of("a", "north")), nowhere,
				nowhere, nowhere, 1, RetryLimits.within(1, 1), 1, RolloutLimits.DEFAULT, LoadSettings.DEFAULTS);
		this.registry = new NodeRegistry(this.vertx, this.store, settings, () -> this.storeUnavailable);
	}

	@AfterEach
	void close() {
		this.vertx.close().await();
	}

	private void note(String node, String value) {
		this.registry.onFleetChange(new FleetChange.NoteWritten(NodeRegistry.NOTE_PREFIX + node, value));
	}

	private void note(String node) {
		note(node, "{\"dataCenter\":\"a\"}");
	}

	/**
	 * Simulates refresh rounds in which only this node writes its note.
	 */
	private void passRounds(int rounds) {
		for (int i = 0; i < rounds; i++) {
			note(SELF);
			this.registry.refresh();
		}
	}

	@Test
	void nodesAreNotCountedBeforePeersKnowThisOne() {
		note(PEER);
		assertThat(this.registry.knownCount()).isEmpty();
		note(SELF);
		assertThat(this.registry.knownCount()).contains(2);
	}

	/** Guards against nodes that take their shares before peers know them. */
	@Test
	void nodesAreNotPeersAtOnce() {
		note(SELF);
		assertThat(this.registry.peers()).isEmpty();
	}

	/**
	 * Guards against shares that are reserved for nodes that were renamed or removed.
	 */
	@Test
	void nodeThatStopsRefreshingIsRemoved() {
		note(SELF);
		note(PEER);
		passRounds(ROUNDS - 1);
		assertThat(this.registry.knownCount()).contains(2);
		passRounds(1);
		assertThat(this.registry.knownCount()).contains(1);
	}

	@Test
	void nodeThatRefreshesNowAndThenIsKept() {
		note(SELF);
		note(PEER);
		for (int i = 0; i < ROUNDS; i++) {
			passRounds(ROUNDS - 1);
			note(PEER);
		}
		assertThat(this.registry.knownCount()).contains(2);
	}

	/**
	 * Guards against nodes that each take the whole limit while the store is unavailable.
	 */
	@Test
	void noNodeIsRemovedWhileTheStoreIsUnavailable() {
		note(SELF);
		note(PEER);
		this.storeUnavailable = true;
		passRounds(10 * ROUNDS);
		assertThat(this.registry.knownCount()).contains(2);
	}

	@Test
	void thisNodeIsNeverRemoved() {
		note(SELF);
		for (int i = 0; i < 2 * ROUNDS; i++) {
			this.registry.refresh();
		}
		assertThat(this.registry.knownCount()).contains(1);
	}

	/**
	 * Guards against shares that are too large because a node's note cannot be parsed.
	 */
	@Test
	void nodeWhoseNoteCannotBeReadIsCounted() {
		note(SELF);
		note(PEER, "no JSON");
		note("older", "{}");
		note("", "{}");
		assertThat(this.registry.knownCount()).contains(3);
	}

	@Test
	void noteContainsTheDataCenter() {
		note(SELF);
		this.registry.refresh();
		assertThat(this.store.written).containsExactly("{\"dataCenter\":\"a\"}");
	}

	/**
	 * Store that records writes and never answers.
	 */
	private static final class RecordingStore implements Store {

		private final List<String> written = new ArrayList<>();

		@Override
		public Single<Optional<StoredValue>> get(String key) {
			return Single.never();
		}

		@Override
		public Single<Listing> list(String prefix, String after, int limit) {
			return Single.never();
		}

		@Override
		public Single<Optional<Long>> write(String guard, long expectedRevision, List<Put> puts) {
			puts.forEach((put) -> this.written.add(put.value()));
			return Single.never();
		}

		@Override
		public Flowable<StoredValue> watch(String prefix, long fromRevision) {
			return Flowable.never();
		}

	}

}
