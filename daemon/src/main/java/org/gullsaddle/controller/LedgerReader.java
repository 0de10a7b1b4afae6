package org.gullsaddle.controller;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import io.reactivex.rxjava3.core.Flowable;

import org.gullsaddle.base.Json;
import org.gullsaddle.ledger.LedgerEntry;
import org.gullsaddle.ledger.LedgerHead;
import org.gullsaddle.ledger.Segment;
import org.gullsaddle.store.Store;

/**
 * Reads the ledger from the store page by page.
 */
public final class LedgerReader {

	private static final int PAGE_SIZE = 10;

	private final Store store;

	private final LedgerKeys keys;

	/**
	 * Creates a reader.
	 * @param store the store
	 * @param prefix the prefix of the system's keys
	 */
	public LedgerReader(Store store, String prefix) {
		this.store = store;
		this.keys = new LedgerKeys(prefix);
	}

	/**
	 * Returns the segments written in a time range, ordered by hour and writer.
	 * @param fromMillis the start, in milliseconds since the epoch
	 * @param toMillis the end, in milliseconds since the epoch
	 * @return the segments
	 */
	public Flowable<Segment> segments(long fromMillis, long toMillis) {
		return segmentValues(this.keys.hourPrefix(fromMillis), toMillis)
			.map((value) -> Json.read(value.value(), Segment.class));
	}

	/**
	 * Returns the heads of all writers.
	 * @return the heads
	 */
	public Flowable<LedgerHead> heads() {
		return pages(this.keys.headsPrefix(), "").map((value) -> Json.read(value.value(), LedgerHead.class));
	}

	/**
	 * Returns the rows written in a time range.
	 * @param fromMillis the start, in milliseconds since the epoch
	 * @param toMillis the end, in milliseconds since the epoch
	 * @param after the cursor of the last row already read, or empty to start at the
	 * beginning
	 * @return the rows; an entry may occur twice
	 */
	public Flowable<Row> rows(long fromMillis, long toMillis, String after) {
		int colon = after.lastIndexOf(':');
		String first = (colon > 0) ? this.keys.segmentsPrefix() + after.substring(0, colon)
				: this.keys.hourPrefix(fromMillis);
		int skipped = (colon > 0) ? Integer.parseInt(after.substring(colon + 1)) : 0;
		Flowable<Row> rest = segmentValues(first, toMillis).concatMapIterable(this::rows);
		if (colon <= 0) {
			return rest;
		}
		Flowable<Row> restOfSegment = this.store.get(first)
			.flattenAsFlowable((found) -> found.isPresent() ? rows(found.get()) : List.<Row>of())
			.skip(skipped);
		return restOfSegment.concatWith(rest);
	}

	private List<Row> rows(Store.StoredValue value) throws IOException {
		Segment segment = Json.read(value.value(), Segment.class);
		List<Row> rows = new ArrayList<>();
		for (Segment.Row row : segment.rows()) {
			String cursor = value.key().substring(this.keys.segmentsPrefix().length()) + ":" + (rows.size() + 1);
			rows.add(new Row(cursor, segment.writer(), row.text()));
		}
		return rows;
	}

	private Flowable<Store.StoredValue> segmentValues(String after, long toMillis) {
		String last = this.keys.hourPrefix(toMillis) + "~";
		return pages(this.keys.segmentsPrefix(), after).takeWhile((value) -> value.key().compareTo(last) < 0);
	}

	private Flowable<Store.StoredValue> pages(String prefix, String after) {
		return this.store.list(prefix, after, PAGE_SIZE).flatMapPublisher((listing) -> {
			Flowable<Store.StoredValue> page = Flowable.fromIterable(listing.values());
			if (!listing.more()) {
				return page;
			}
			String next = listing.values().get(listing.values().size() - 1).key();
			return page.concatWith(Flowable.defer(() -> pages(prefix, next)));
		});
	}

	/**
	 * A row of the ledger.
	 *
	 * @param cursor position to resume reading after this row
	 * @param writer the name of the ledger writer
	 * @param text the entry's JSON text
	 */
	public record Row(String cursor, String writer, String text) {

		/**
		 * Parses the entry.
		 * @return the entry
		 * @throws IOException if the text is not a known kind of entry
		 */
		public LedgerEntry entry() throws IOException {
			return LedgerEntry.read(this.text);
		}

	}

}
