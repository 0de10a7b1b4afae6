package org.gullsaddle.controller;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;

import org.gullsaddle.ledger.Segment;

/**
 * Builds the store keys of ledger segments and heads, for writers and readers.
 */
final class LedgerKeys {

	private static final DateTimeFormatter HOUR = DateTimeFormatter.ofPattern("yyyyMMddHH").withZone(ZoneOffset.UTC);

	private final String prefix;

	LedgerKeys(String prefix) {
		this.prefix = prefix;
	}

	String segmentsPrefix() {
		return this.prefix + "ledger/";
	}

	String hourPrefix(long wallMillis) {
		return segmentsPrefix() + HOUR.format(Instant.ofEpochMilli(wallMillis));
	}

	String segmentKey(long wallMillis, Segment segment) {
		return hourPrefix(wallMillis) + "/" + segment.writer() + "/" + String.format("%010d", segment.sequence());
	}

	String headsPrefix() {
		return this.prefix + "heads/";
	}

	String headKey(String writer) {
		return headsPrefix() + writer;
	}

}
