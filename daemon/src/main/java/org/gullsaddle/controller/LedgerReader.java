package org.gullsaddle.controller;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;

import io.reactivex.rxjava3.core.Flowable;

import org.gullsaddle.base.Json;
import org.gullsaddle.ledger.LedgerEntry;
import org.gullsaddle.ledger.Segment;
import org.gullsaddle.store.Store;

/**
 * Reads the ledger from the store, a page at a time.
 */
public final class LedgerReader {

	private static final DateTimeFormatter HOUR = DateTimeFormatter.ofPattern("yyyyMMddHH").withZone(ZoneOffset.UTC);

	private static final int PAGE = 10;

	private final Store store;

	private final String prefix;

	/**
	 * Makes a reader.
	 * @param store the store
	 * @param prefix the start of the system's keys
	 */
	public LedgerReader(Store store, String prefix) {
		this.store = store;
		this.prefix = prefix + "ledger/";
	}

	/**
	 * Returns the segments written in a span of time, by hour and writer.
	 * @param fromMillis the start, in milliseconds since the epoch
	 * @param toMillis the end, in milliseconds since the epoch
	 * @return the segments
	 */
	public Flowable<Segment> segments(long fromMillis, long toMillis) {
		String first = this.prefix + HOUR.format(Instant.ofEpochMilli(fromMillis));
		String last = this.prefix + HOUR.format(Instant.ofEpochMilli(toMillis)) + "~";
		return pages(first).takeWhile((value) -> value.key().compareTo(last) < 0)
			.map((value) -> Json.read(value.value(), Segment.class));
	}

	/**
	 * Returns the entries written in a span of time.
	 * @param fromMillis the start, in milliseconds since the epoch
	 * @param toMillis the end, in milliseconds since the epoch
	 * @return the entries, some perhaps twice
	 */
	public Flowable<LedgerEntry> entries(long fromMillis, long toMillis) {
		return segments(fromMillis, toMillis).concatMapIterable(Segment::rows)
			.map((row) -> LedgerEntry.read(row.text()));
	}

	private Flowable<Store.StoredValue> pages(String after) {
		return this.store.list(this.prefix, after, PAGE).flatMapPublisher((listing) -> {
			Flowable<Store.StoredValue> page = Flowable.fromIterable(listing.values());
			if (!listing.more()) {
				return page;
			}
			String next = listing.values().get(listing.values().size() - 1).key();
			return page.concatWith(Flowable.defer(() -> pages(next)));
		});
	}

}
