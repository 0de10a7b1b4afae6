package org.gullsaddle.inbound;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;

/**
 * Finds the end of a request's head, and counts what it consists of.
 */
final class HeadScanner {

	/**
	 * Heap that a decoded header line uses beside its bytes, in bytes: its entry and
	 * strings, and their copies in the request to a replica.
	 */
	private static final long LINE_COST = 320;

	/** Copies of a head's bytes while its request is served. */
	private static final long BYTE_COST = 3;

	private static final int DELETE = 0x7F;

	private int scannedBytes;

	private int lineStart;

	private int lines;

	private int firstLineBytes;

	/**
	 * Skips what the decoder skips before a head: control characters and spaces.
	 */
	static void skipBlanks(ByteBuf in) {
		int start = in.forEachByte((each) -> (each >= 0 && each <= ' ') || each == DELETE);
		in.readerIndex((start < 0) ? in.writerIndex() : start);
	}

	/**
	 * Scans on after the bytes that were scanned before.
	 * @param in the head from its first byte, as far as it was received
	 * @return the length of the head, or -1 if its end was not received
	 */
	int scan(ByteBuf in) {
		int start = in.readerIndex();
		int from = start + this.scannedBytes;
		int lineEnd = in.forEachByte(from, in.writerIndex() - from, ByteProcessor.FIND_LF);
		while (lineEnd >= 0) {
			int length = lineEnd - start - this.lineStart;
			this.scannedBytes = lineEnd + 1 - start;
			if (length == 0 || (length == 1 && in.getByte(lineEnd - 1) == '\r')) {
				return this.scannedBytes;
			}
			this.lineStart = this.scannedBytes;
			this.firstLineBytes = (this.lines == 0) ? this.lineStart : this.firstLineBytes;
			this.lines++;
			lineEnd = in.forEachByte(lineEnd + 1, in.writerIndex() - lineEnd - 1, ByteProcessor.FIND_LF);
		}
		this.scannedBytes = in.writerIndex() - start;
		return -1;
	}

	boolean isEmpty() {
		return this.scannedBytes == 0;
	}

	boolean exceeds(int limitBytes) {
		int first = (this.lines == 0) ? this.scannedBytes : this.firstLineBytes;
		// The empty line at the end is no header line.
		return first > limitBytes || this.scannedBytes - first > limitBytes + 2;
	}

	/**
	 * Returns the heap that the head uses once it is decoded, in bytes.
	 */
	long cost() {
		return this.scannedBytes * BYTE_COST + this.lines * LINE_COST;
	}

}
