package org.gullsaddle.ledger;

import java.util.List;

import org.gullsaddle.base.Check;

/**
 * A batch of ledger entries that is written to the store as one value.
 *
 * @param writer the writer: a node in one of its runs
 * @param sequence counts the writer's segments from 1
 * @param previous the hash of the writer's last entry before, or empty in its first
 * segment
 * @param rows the entries
 */
public record Segment(String writer, long sequence, String previous, List<Row> rows) {

	public Segment {
		Check.notNull(writer, "writer");
		Check.that(sequence > 0, "sequence must be positive");
		Check.notNull(previous, "previous");
		rows = List.copyOf(rows);
		Check.that(!rows.isEmpty(), "a segment must not be empty");
	}

	/**
	 * Returns the hash of the last entry, which covers all entries before it.
	 * @return the hash
	 */
	public String head() {
		return this.rows.get(this.rows.size() - 1).hash();
	}

	/**
	 * An entry with the hash that chains it to the one before.
	 *
	 * @param text the entry's JSON text
	 * @param hash the hash of the hash before and the text
	 */
	public record Row(String text, String hash) {
	}

}
