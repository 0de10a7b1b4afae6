package org.gullsaddle.controller;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;

import org.gullsaddle.ledger.Segment;

/**
 * Where the ledger's values lie in the store, for its writers and its readers.
 */
final class LedgerKeys {

	private static final DateTimeFormatter HOUR = DateTimeFormatter.ofPattern("yyyyMMddHH").withZone(ZoneOffset.UTC);

	private final String prefix;

	LedgerKeys(String prefix) {
		this.prefix = prefix;
	}

	String segments() {
		return this.prefix + "ledger/";
	}

	String hour(long wallMillis) {
		return segments() + HOUR.format(Instant.ofEpochMilli(wallMillis));
	}

	String segment(long wallMillis, Segment segment) {
		return hour(wallMillis) + "/" + segment.writer() + "/" + String.format("%010d", segment.sequence());
	}

	String heads() {
		return this.prefix + "heads/";
	}

	String head(String writer) {
		return heads() + writer;
	}

}
