package org.gullsaddle.ledger;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.gullsaddle.base.Check;
import org.gullsaddle.base.RequestId;

/**
 * Batches a node's ledger entries into segments, one under way at a time.
 * <p>
 * A segment keeps its number and content until the store is known to have it, so that a
 * write whose answer was lost is found again under the same key and not written twice.
 * Single-threaded.
 */
public final class LedgerWriter {

	/** Well under the store's largest value, with room for its encoding. */
	private static final int MAX_SEGMENT_CHARACTERS = 400_000;

	private final String writer;

	private final int maxPending;

	private final Deque<LedgerEntry> pending = new ArrayDeque<>();

	private List<RequestId> inFlightRequests = List.of();

	private Segment inFlight;

	private long sequence;

	private String head = "";

	/**
	 * Makes a writer that has written nothing.
	 * @param writer its name, which no other run of any node may have
	 * @param maxPending how many entries may wait for the store
	 */
	public LedgerWriter(String writer, int maxPending) {
		this.writer = Check.notNull(writer, "writer");
		Check.that(maxPending > 0, "maxPending must be positive");
		this.maxPending = maxPending;
	}

	/**
	 * Adds an entry. It is taken even when {@link #hasCapacity()} is false: what ran is
	 * never left out; the room bounds what is let in.
	 * @param entry the entry
	 */
	public void append(LedgerEntry entry) {
		this.pending.add(entry);
	}

	/**
	 * Says whether more requests may be let in. While the store is down their records
	 * would pile up in memory, and be lost with it.
	 * @return true if fewer entries wait than allowed
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
	 * Returns the segment to write: the one under way again, or the next.
	 * @return the segment, or empty if there is nothing to write
	 */
	public Optional<Segment> nextSegment() {
		if (this.inFlight == null && !this.pending.isEmpty()) {
			this.inFlight = build();
		}
		return Optional.ofNullable(this.inFlight);
	}

	/**
	 * Notes that the store has the segment under way.
	 * @return the requests whose entries it holds
	 */
	public List<RequestId> onWritten() {
		Check.that(this.inFlight != null, "no segment is under way");
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
