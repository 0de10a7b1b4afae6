package org.gullsaddle.controller;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.gullsaddle.base.Json;
import org.gullsaddle.base.RequestId;
import org.gullsaddle.ledger.LedgerEntry;
import org.gullsaddle.ledger.LedgerHead;
import org.gullsaddle.ledger.LedgerWriter;
import org.gullsaddle.ledger.Segment;
import org.gullsaddle.store.Store;
import org.gullsaddle.telemetry.NodeClock;

/**
 * Writes a node's ledger entries to the store in batches. Thread-safe.
 */
public final class LedgerController {

	private static final Logger LOG = LoggerFactory.getLogger(LedgerController.class);

	private static final int MAX_PENDING = 50_000;

	/** Delay before retrying a failed write, in milliseconds. */
	private static final long RETRY_DELAY_MILLIS = 200;

	private final Store store;

	private final LedgerKeys keys;

	private final NodeClock clock;

	private final LedgerWriter writer;

	private final Consumer<List<RequestId>> recordedListener;

	private String segmentKey;

	private Completable currentFlush;

	/**
	 * Creates a controller.
	 * @param store the store
	 * @param prefix the prefix of the system's keys
	 * @param clock the node's clocks
	 * @param writer the ledger writer's name, unique to this run of this node
	 * @param recordedListener is called with the requests whose entries are now in the
	 * store
	 */
	public LedgerController(Store store, String prefix, NodeClock clock, String writer,
			Consumer<List<RequestId>> recordedListener) {
		this.store = store;
		this.keys = new LedgerKeys(prefix);
		this.clock = clock;
		this.writer = new LedgerWriter(writer, MAX_PENDING);
		this.recordedListener = recordedListener;
	}

	/**
	 * Appends an entry to the next batch.
	 * @param entry the entry
	 */
	public synchronized void append(LedgerEntry entry) {
		this.writer.append(entry);
	}

	/**
	 * Returns whether more requests may be admitted.
	 * @return true if the buffer has capacity for their records
	 */
	public synchronized boolean hasCapacity() {
		return this.writer.hasCapacity();
	}

	/**
	 * Returns the number of entries not yet confirmed to be in the store.
	 * @return the number
	 */
	public synchronized int pendingCount() {
		return this.writer.pendingCount();
	}

	/**
	 * Writes all pending entries; ends with an error if the store fails.
	 * <p>
	 * Only one flush runs at a time. Two concurrent flushes would write the same segment,
	 * and the later acknowledgement would be counted for the next segment, whose records
	 * would be lost. This happens when a stop overlaps a periodic flush. A flush that
	 * finds another one running waits for its end and then writes the remaining entries.
	 * @return completes when nothing is pending; an error if the store failed
	 */
	public Completable flush() {
		return Completable.defer(() -> {
			Completable running;
			synchronized (this) {
				running = this.currentFlush;
				if (running == null) {
					this.currentFlush = writePending().doOnTerminate(this::onFlushEnd)
						.doOnDispose(this::onFlushEnd)
						.cache();
					return this.currentFlush;
				}
			}
			return running.onErrorComplete().andThen(Completable.defer(this::flush));
		});
	}

	/**
	 * Writes all pending entries, retrying while the store fails. A stop that gave up
	 * after one slow answer would lose its pending records.
	 * @return completes when nothing is pending; the caller must bound the time
	 */
	public Completable flushUntilWritten() {
		return flush().retryWhen((failures) -> failures.delay(RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS));
	}

	private synchronized void onFlushEnd() {
		this.currentFlush = null;
	}

	private Completable writePending() {
		return Completable.defer(() -> {
			Optional<Segment> segment = nextSegment();
			if (segment.isEmpty()) {
				return Completable.complete();
			}
			return write(segment.get()).andThen(Completable.defer(this::writePending));
		});
	}

	/**
	 * Writes pending entries on each tick until cancelled.
	 * @param ticks emits an item to start each round
	 * @return a completable that never completes
	 */
	public Completable run(Flowable<?> ticks) {
		return ticks.onBackpressureDrop()
			.concatMapCompletable((tick) -> flush()
				.doOnError((failure) -> LOG.atWarn()
					.addKeyValue("waiting", pendingCount())
					.addKeyValue("reason", failure.getMessage())
					.log("ledger not written"))
				.onErrorComplete());
	}

	private synchronized Optional<Segment> nextSegment() {
		Optional<Segment> segment = this.writer.nextSegment();
		if (segment.isPresent() && this.segmentKey == null) {
			// The key contains the hour and must stay the same until the write's outcome
			// is known.
			this.segmentKey = this.keys.segmentKey(this.clock.wallMillis(), segment.get());
		}
		return segment;
	}

	private Completable write(Segment segment) {
		String key = this.segmentKey;
		Store.Put put = new Store.Put(key, Json.write(segment));
		Store.Put head = new Store.Put(this.keys.headKey(segment.writer()),
				Json.write(new LedgerHead(segment.writer(), segment.sequence(), segment.head())));
		return this.store.write(key, 0, List.of(put, head))
			.flatMap((revision) -> revision.isPresent() ? Single.just(true) : isAlreadyWritten(key, segment))
			.flatMapCompletable((stored) -> stored ? Completable.fromAction(this::onWritten)
					: Completable.error(new IllegalStateException("another writer uses the key " + key)));
	}

	/**
	 * Returns whether the store already holds the segment, from an earlier write whose
	 * answer was lost.
	 */
	private Single<Boolean> isAlreadyWritten(String key, Segment segment) {
		return this.store.get(key)
			.map((found) -> found.isPresent()
					&& Json.read(found.get().value(), Segment.class).head().equals(segment.head()));
	}

	private void onWritten() {
		List<RequestId> requests;
		synchronized (this) {
			requests = this.writer.onWritten();
			this.segmentKey = null;
		}
		this.recordedListener.accept(requests);
	}

}
