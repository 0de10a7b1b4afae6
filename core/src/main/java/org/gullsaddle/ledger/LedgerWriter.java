package org.gullsaddle.ledger;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.gullsaddle.base.Check;
import org.gullsaddle.base.RequestId;

/**
 * Batches a node's ledger entries into segments, one in flight at a time.
 * <p>
 * A segment keeps its number and content until the store is known to have it, so that
 * after a lost answer it is written again under the same key and not twice.
 * Single-threaded.
 */
public final class LedgerWriter {

	/** Well below the store's largest value, with a margin for its encoding. */
	private static final int MAX_SEGMENT_CHARACTERS = 400_000;

	private final String writer;

	private final int maxPending;

	private final Deque<LedgerEntry> pending = new ArrayDeque<>();

	private List<RequestId> inFlightRequests = List.of();

	private Segment inFlight;

	private long sequence;

	private String head = "";

	/**
	 * Creates a writer that has written nothing.
	 * @param writer its name, unique among all runs of all nodes
	 * @param maxPending how many entries may wait for the store
	 */
	public LedgerWriter(String writer, int maxPending) {
		this.writer = Check.notNull(writer, "writer");
		Check.that(maxPending > 0, "maxPending must be positive");
		this.maxPending = maxPending;
	}

	/**
	 * Adds an entry. It is accepted even if {@link #hasCapacity()} is false, as the
	 * record of work that ran is never dropped; the capacity limits admission only.
	 * @param entry the entry
	 */
	public void append(LedgerEntry entry) {
		this.pending.add(entry);
	}

	/**
	 * Returns whether more requests may be admitted. While the store is down, their
	 * records would accumulate in memory and be lost with it.
	 * @return true if fewer entries are pending than allowed
	 */
	public boolean hasCapacity() {
		return pendingCount() < this.maxPending;
	}

	/**
	 * Returns how many entries are not known to be in the store.
	 * @return the number
	 */
	public int pendingCount() {
		return this.pending.size() + this.inFlightRequests.size();
	}

	/**
	 * Returns the segment to write: the one in flight again, or the next.
	 * @return the segment, or empty if there is nothing to write
	 */
	public Optional<Segment> nextSegment() {
		if (this.inFlight == null && !this.pending.isEmpty()) {
			this.inFlight = build();
		}
		return Optional.ofNullable(this.inFlight);
	}

	/**
	 * Handles the store's confirmation of the segment in flight.
	 * @return the requests whose entries it holds
	 */
	public List<RequestId> onWritten() {
		Check.that(this.inFlight != null, "no segment is in flight");
		this.sequence = this.inFlight.sequence();
		this.head = this.inFlight.head();
		this.inFlight = null;
		List<RequestId> requests = this.inFlightRequests;
		this.inFlightRequests = List.of();
		return requests;
	}

	private Segment build() {
		List<Segment.Row> rows = new ArrayList<>();
		List<RequestId> requests = new ArrayList<>();
		String hash = this.head;
		int characters = 0;
		while (!this.pending.isEmpty() && characters < MAX_SEGMENT_CHARACTERS) {
			LedgerEntry entry = this.pending.poll();
			String text = entry.text();
			hash = HashChain.next(hash, text);
			rows.add(new Segment.Row(text, hash));
			requests.add(entry.request());
			characters += text.length();
		}
		this.inFlightRequests = List.copyOf(requests);
		return new Segment(this.writer, this.sequence + 1, this.head, rows);
	}

}
