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

	/** The pause before a write that follows a failed one, in milliseconds. */
	private static final long RETRY_DELAY_MILLIS = 200;

	private final Store store;

	private final LedgerKeys keys;

	private final NodeClock clock;

	private final LedgerWriter writer;

	private final Consumer<List<RequestId>> recordedListener;

	private String segmentKey;

	private Completable currentFlush;

	/**
	 * Makes a controller.
	 * @param store the store
	 * @param prefix the start of the system's keys
	 * @param clock the node's clocks
	 * @param writer the ledger writer's name, which no other run of any node may have
	 * @param recorded hears of the requests whose entries are in the store
	 */
	public LedgerController(Store store, String prefix, NodeClock clock, String writer,
			Consumer<List<RequestId>> recorded) {
		this.store = store;
		this.keys = new LedgerKeys(prefix);
		this.clock = clock;
		this.writer = new LedgerWriter(writer, MAX_PENDING);
		this.recordedListener = recorded;
	}

	/**
	 * Adds an entry.
	 * @param entry the entry
	 */
	public synchronized void append(LedgerEntry entry) {
		this.writer.append(entry);
	}

	/**
	 * Says whether more requests may be let in.
	 * @return true if there is room for their records
	 */
	public synchronized boolean hasCapacity() {
		return this.writer.hasCapacity();
	}

	/**
	 * Returns how many entries are not known to be in the store.
	 * @return the number
	 */
	public synchronized int pendingCount() {
		return this.writer.pendingCount();
	}

	/**
	 * Writes what waits, until nothing does or the store fails.
	 * <p>
	 * One flush is under way at a time. Two would write the same segment, and the later
	 * answer would count for the segment after it, whose records would be lost; a stop
	 * beside a periodic flush is the usual case. One that finds another under way waits
	 * for its end and then writes what is left.
	 * @return done when nothing waits; an error if the store failed
	 */
	public Completable flush() {
		return Completable.defer(() -> {
			Completable before;
			synchronized (this) {
				before = this.currentFlush;
				if (before == null) {
					this.currentFlush = writePending().doOnTerminate(this::onFlushEnd)
						.doOnDispose(this::onFlushEnd)
						.cache();
					return this.currentFlush;
				}
			}
			return before.onErrorComplete().andThen(Completable.defer(this::flush));
		});
	}

	/**
	 * Writes what waits, trying again while the store fails. A stop that gave up at one
	 * slow answer would lose the records that it still holds.
	 * @return done when nothing waits; whoever stops must bound the time
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
	 * Writes what waits, again and again, until cancelled.
	 * @param every what starts each round
	 * @return never done
	 */
	public Completable run(Flowable<?> every) {
		return every.onBackpressureDrop()
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
			// The hour is part of the key, and must not change while the write is in
			// doubt.
			this.segmentKey = this.keys.segmentKey(this.clock.wallMillis(), segment.get());
		}
		return segment;
	}

	private Completable write(Segment segment) {
		String target = this.segmentKey;
		Store.Put put = new Store.Put(target, Json.write(segment));
		Store.Put head = new Store.Put(this.keys.headKey(segment.writer()),
				Json.write(new LedgerHead(segment.writer(), segment.sequence(), segment.head())));
		return this.store.write(target, 0, List.of(put, head))
			.flatMap((revision) -> revision.isPresent() ? Single.just(true) : isAlreadyWritten(target, segment))
			.flatMapCompletable((ours) -> ours ? Completable.fromAction(this::onWritten)
					: Completable.error(new IllegalStateException("another writer uses the key " + target)));
	}

	/**
	 * Says whether the segment is there already, from a write whose answer was lost.
	 */
	private Single<Boolean> isAlreadyWritten(String target, Segment segment) {
		return this.store.get(target)
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
