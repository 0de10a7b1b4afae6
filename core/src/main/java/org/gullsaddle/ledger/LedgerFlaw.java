package org.gullsaddle.ledger;

/**
 * Where a writer's part of the ledger is not as it was written.
 *
 * @param writer the writer
 * @param sequence the number of the segment
 * @param row the first bad record in it, from 1, or 0 if it concerns the whole segment
 * @param reason what is wrong
 */
public record LedgerFlaw(String writer, long sequence, int row, String reason) {

	@Override
	public String toString() {
		return this.writer + ", segment " + this.sequence + ((this.row > 0) ? ", record " + this.row : "") + ": "
				+ this.reason;
	}

}
