package org.gullsaddle.outbound;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;

/**
 * Head of an answer, checked line by line as it is received (RFC 9112, 4 and 5).
 */
final class AnswerHead {

	/**
	 * Largest size of a head, in bytes; the decoder has limits of its own below it.
	 */
	private static final int MAX_BYTES = 16_384;

	private static final String VERSION = "HTTP/1.";

	private static final int STATUS_START = "HTTP/1.1 ".length();

	private static final int STATUS_END = STATUS_START + "200".length();

	private static final int MIN_STATUS = 100;

	private static final int MIN_FINAL_STATUS = 200;

	private static final int MAX_STATUS = 599;

	private static final int SWITCHING_PROTOCOLS = 101;

	private static final int NO_CONTENT = 204;

	private static final int NOT_MODIFIED = 304;

	private static final String CONTENT_LENGTH = "content-length";

	private static final String TRANSFER_ENCODING = "transfer-encoding";

	private static final String CHUNKED = "chunked";

	/** Coding of older servers for a body that ends with its connection. */
	private static final String IDENTITY = "identity";

	/** Longest length that is read, in digits. */
	private static final int MAX_LENGTH_DIGITS = 18;

	private int checkedBytes;

	private int lineStart;

	private int status;

	/** Whether the version is HTTP/1.0, which has no transfer codings. */
	private boolean old;

	private String length;

	private String coding;

	/**
	 * Checks on after the lines that were checked before.
	 * @param in the head from its first byte, as far as it was received
	 * @return the size of the head in bytes, or -1 if its end was not received
	 * @throws InvalidAnswerException if it is not the head of an answer
	 */
	int check(ByteBuf in) throws InvalidAnswerException {
		int start = in.readerIndex();
		int lineEnd = nextLineEnd(in, start + this.checkedBytes);
		while (lineEnd >= 0) {
			this.checkedBytes = lineEnd + 1 - start;
			check(this.checkedBytes <= MAX_BYTES, "the head is too large");
			int from = start + this.lineStart;
			int end = lineEnd - 1;
			check(end >= from && in.getByte(end) == '\r', "a line does not end with CR LF");
			if (this.lineStart > 0 && end == from) {
				return this.checkedBytes;
			}
			checkLine(in, from, end);
			this.lineStart = this.checkedBytes;
			lineEnd = nextLineEnd(in, lineEnd + 1);
		}
		this.checkedBytes = in.readableBytes();
		check(this.checkedBytes <= MAX_BYTES, "the head is too large");
		return -1;
	}

	private static int nextLineEnd(ByteBuf in, int from) {
		return in.forEachByte(from, in.writerIndex() - from, ByteProcessor.FIND_LF);
	}

	private void checkLine(ByteBuf in, int from, int end) throws InvalidAnswerException {
		if (this.lineStart == 0) {
			checkStatusLine(in, from, end);
		}
		else {
			checkField(in, from, end);
		}
	}

	private void checkStatusLine(ByteBuf in, int from, int end) throws InvalidAnswerException {
		check(end - from > STATUS_END, "the status line is too short");
		for (int i = 0; i < VERSION.length(); i++) {
			check(in.getByte(from + i) == VERSION.charAt(i), "no status line");
		}
		byte minor = in.getByte(from + VERSION.length());
		check(minor == '0' || minor == '1', "the version is unknown");
		this.old = minor == '0';
		check(in.getByte(from + STATUS_START - 1) == ' ' && in.getByte(from + STATUS_END) == ' ',
				"the status line is malformed");
		for (int i = from + STATUS_START; i < from + STATUS_END; i++) {
			check(FieldSyntax.isDigit(in.getByte(i)), "the status is not a number of three digits");
		}
		this.status = Integer.parseInt(text(in, from + STATUS_START, from + STATUS_END));
		check(this.status >= MIN_STATUS && this.status <= MAX_STATUS && this.status != SWITCHING_PROTOCOLS,
				"unexpected status " + this.status);
		checkText(in, from + STATUS_END, end);
	}

	private void checkField(ByteBuf in, int from, int end) throws InvalidAnswerException {
		int colon = from;
		while (colon < end && FieldSyntax.isToken(in.getByte(colon))) {
			colon++;
		}
		check(colon > from && colon < end && in.getByte(colon) == ':', "a line is no header field");
		checkText(in, colon + 1, end);
		int nameBytes = colon - from;
		if (nameBytes == CONTENT_LENGTH.length() || nameBytes == TRANSFER_ENCODING.length()) {
			readFraming(text(in, from, colon), text(in, colon + 1, end));
		}
	}

	private void readFraming(String name, String value) throws InvalidAnswerException {
		if (name.equalsIgnoreCase(CONTENT_LENGTH)) {
			check(this.length == null, "there are several lengths");
			this.length = value;
		}
		else if (name.equalsIgnoreCase(TRANSFER_ENCODING)) {
			check(this.coding == null, "there are several transfer codings");
			this.coding = value;
		}
	}

	private static void checkText(ByteBuf in, int from, int end) throws InvalidAnswerException {
		check(in.forEachByte(from, end - from, FieldSyntax::isText) < 0, "control character in the head");
	}

	private static String text(ByteBuf in, int from, int end) {
		return in.toString(from, end - from, StandardCharsets.ISO_8859_1).strip();
	}

	/**
	 * Returns whether another head follows.
	 */
	boolean isInterim() {
		return this.status < MIN_FINAL_STATUS;
	}

	/**
	 * Returns the body that follows the head.
	 * @param toHead whether the request's method was HEAD
	 * @throws InvalidAnswerException if the end of the body is ambiguous
	 */
	AnswerBody body(boolean toHead) throws InvalidAnswerException {
		check(this.length == null || this.coding == null, "there are both a length and a transfer coding");
		boolean chunked = CHUNKED.equalsIgnoreCase(this.coding);
		check(this.coding == null || (!this.old && (chunked || IDENTITY.equalsIgnoreCase(this.coding))),
				"the transfer coding is unknown");
		long bytes = (this.length != null) ? parseLength(this.length) : 0;
		if (toHead || this.status == NO_CONTENT || this.status == NOT_MODIFIED) {
			return new AnswerBody.Fixed(0);
		}
		if (chunked) {
			return new ChunkedBody();
		}
		return (this.length != null) ? new AnswerBody.Fixed(bytes) : new AnswerBody.UntilClose();
	}

	private static long parseLength(String text) throws InvalidAnswerException {
		boolean digits = text.chars().allMatch((each) -> FieldSyntax.isDigit((byte) each));
		check(digits && !text.isEmpty() && text.length() <= MAX_LENGTH_DIGITS, "the length is not a number");
		return Long.parseLong(text);
	}

	private static void check(boolean condition, String message) throws InvalidAnswerException {
		if (!condition) {
			throw new InvalidAnswerException(message);
		}
	}

}
