package org.gullsaddle.ledger;

/**
 * The last segment of a writer, stored apart from its segments so that missing last
 * segments are detected.
 *
 * @param writer the writer
 * @param sequence the number of its last segment
 * @param hash the hash of its last entry
 */
public record LedgerHead(String writer, long sequence, String hash) {
}
