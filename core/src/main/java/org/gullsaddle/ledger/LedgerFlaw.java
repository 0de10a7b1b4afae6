package org.gullsaddle.ledger;

/**
 * A place where a writer's part of the ledger was altered after it was written.
 *
 * @param writer the writer
 * @param sequence the number of the segment
 * @param row the first bad record in it, from 1, or 0 for the whole segment
 * @param reason what is wrong
 */
public record LedgerFlaw(String writer, long sequence, int row, String reason) {

	@Override
	public String toString() {
		return this.writer + ", segment " + this.sequence + ((this.row > 0) ? ", record " + this.row : "") + ": "
				+ this.reason;
	}

}
