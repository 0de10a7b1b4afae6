package org.gullsaddle.controller;

import java.io.IOException;
import java.util.List;
import java.util.Optional;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.gullsaddle.allowance.GrantCoordinator;
import org.gullsaddle.allowance.GrantDocument;
import org.gullsaddle.base.Json;
import org.gullsaddle.store.Store;
import org.gullsaddle.telemetry.NodeClock;

/**
 * Synchronizes this entry's shares of the team allowances with the store.
 */
public final class GrantController {

	private static final Logger LOG = LoggerFactory.getLogger(GrantController.class);

	private static final int MAX_CONFLICT_RETRIES = 5;

	private final Store store;

	private final String key;

	private final NodeClock clock;

	private final GrantCoordinator coordinator;

	/**
	 * Creates a controller.
	 * @param store the store
	 * @param prefix the prefix of the system's keys
	 * @param clock the node's clocks
	 * @param coordinator decides the shares
	 */
	public GrantController(Store store, String prefix, NodeClock clock, GrantCoordinator coordinator) {
		this.store = store;
		this.key = prefix + "grants";
		this.clock = clock;
		this.coordinator = coordinator;
	}

	/**
	 * Renews and adjusts the shares on each tick until cancelled.
	 * @param ticks emits an item to start each round
	 * @return a completable that never completes
	 */
	public Completable run(Flowable<?> ticks) {
		return ticks.onBackpressureDrop().concatMapCompletable((tick) -> renew(MAX_CONFLICT_RETRIES).onErrorComplete());
	}

	/**
	 * Releases all shares of this entry.
	 * @return completes once the store has accepted the release
	 */
	public Completable releaseAll() {
		return this.store.get(this.key).flatMapCompletable((found) -> {
			if (found.isEmpty()) {
				return Completable.complete();
			}
			GrantDocument document = this.coordinator.releaseGrants(decode(found), this.clock.millis());
			return write(found, document).ignoreElement();
		});
	}

	private Completable renew(int retriesLeft) {
		long readStartMillis = this.clock.millis();
		return this.store.get(this.key).flatMapCompletable((found) -> {
			GrantDocument next = this.coordinator.propose(decode(found), readStartMillis, this.clock.millis(),
					this.clock.wallMillis());
			if (next == null) {
				return Completable.complete();
			}
			return write(found, next).flatMapCompletable((revision) -> {
				if (revision.isPresent()) {
					this.coordinator.onAccepted(this.clock.millis());
					return Completable.complete();
				}
				this.coordinator.onNotAccepted();
				return (retriesLeft > 0) ? renew(retriesLeft - 1) : Completable.complete();
			});
		}).doOnError((failure) -> {
			this.coordinator.onNotAccepted();
			LOG.atWarn().addKeyValue("reason", failure.getMessage()).log("allowances not renewed");
		});
	}

	private Single<Optional<Long>> write(Optional<Store.StoredValue> found, GrantDocument document) {
		return this.store.write(this.key, found.map(Store.StoredValue::revision).orElse(0L),
				List.of(new Store.Put(this.key, Json.write(document))));
	}

	private static GrantDocument decode(Optional<Store.StoredValue> found) throws IOException {
		return found.isPresent() ? Json.read(found.get().value(), GrantDocument.class) : GrantDocument.EMPTY;
	}

}
