package org.gullsaddle.outbound;

import io.netty.buffer.ByteBuf;

/**
 * Chunked body with its extensions and trailers (RFC 9112, 7.1).
 */
final class ChunkedBody implements AnswerBody {

	/** Most digits of a chunk's size, leading zeros included. */
	private static final int MAX_SIZE_DIGITS = 16;

	/** Largest size of all extensions of a chunk, in bytes. */
	private static final int MAX_EXTENSION_BYTES = 4096;

	/** Largest size of all trailers, in bytes. */
	private static final int MAX_TRAILER_BYTES = 8192;

	private static final int RADIX = 16;

	private State state = State.SIZE;

	/** Bytes of the chunk that are still to come. */
	private long remainingBytes;

	private int digits;

	/** Bytes of the chunk's extensions, or of all trailers. */
	private int extraBytes;

	@Override
	public boolean hasEnded() {
		return this.state == State.ENDED;
	}

	@Override
	public int check(ByteBuf in) throws InvalidAnswerException {
		int index = in.readerIndex();
		while (index < in.writerIndex() && !hasEnded()) {
			if (this.state == State.DATA) {
				int bytes = (int) Math.min(this.remainingBytes, in.writerIndex() - index);
				this.remainingBytes -= bytes;
				index += bytes;
				this.state = (this.remainingBytes == 0) ? State.DATA_CR : State.DATA;
			}
			else {
				this.state = next(in.getByte(index));
				index++;
			}
		}
		return index - in.readerIndex();
	}

	private State next(byte each) throws InvalidAnswerException {
		return switch (this.state) {
			case SIZE -> readSize(each);
			case SIZE_BLANK -> readSizeBlank(each);
			case EXTENSION -> readText(each, State.EXTENSION, State.SIZE_LF, MAX_EXTENSION_BYTES);
			case SIZE_LF -> endSize(each);
			case DATA_CR -> expect(each, '\r', State.DATA_LF);
			case DATA_LF -> expect(each, '\n', State.SIZE);
			case TRAILER_START -> (each == '\r') ? State.END_LF : readTrailerName(each, State.TRAILER_NAME);
			case TRAILER_NAME -> (each == ':') ? State.TRAILER_VALUE : readTrailerName(each, State.TRAILER_NAME);
			case TRAILER_VALUE -> readText(each, State.TRAILER_VALUE, State.TRAILER_LF, MAX_TRAILER_BYTES);
			case TRAILER_LF -> expect(each, '\n', State.TRAILER_START);
			case END_LF -> expect(each, '\n', State.ENDED);
			case DATA, ENDED -> throw new IllegalStateException("no framing is due");
		};
	}

	private State readSize(byte each) throws InvalidAnswerException {
		int digit = Character.digit(each, RADIX);
		if (digit >= 0) {
			this.remainingBytes = this.remainingBytes * RADIX + digit;
			this.digits++;
			check(this.digits <= MAX_SIZE_DIGITS && this.remainingBytes <= Integer.MAX_VALUE, "a chunk is too large");
			return State.SIZE;
		}
		check(this.digits > 0, "a chunk has no size");
		if (each == '\r') {
			return State.SIZE_LF;
		}
		return FieldSyntax.isBlank(each) ? State.SIZE_BLANK : expect(each, ';', State.EXTENSION);
	}

	/**
	 * Reads blanks after a size, which only an extension may follow.
	 */
	private State readSizeBlank(byte each) throws InvalidAnswerException {
		countExtra(MAX_EXTENSION_BYTES);
		return FieldSyntax.isBlank(each) ? State.SIZE_BLANK : expect(each, ';', State.EXTENSION);
	}

	private State endSize(byte each) throws InvalidAnswerException {
		expect(each, '\n', State.DATA);
		this.digits = 0;
		this.extraBytes = 0;
		return (this.remainingBytes == 0) ? State.TRAILER_START : State.DATA;
	}

	private State readTrailerName(byte each, State next) throws InvalidAnswerException {
		check(FieldSyntax.isToken(each), "a trailer has no valid name");
		countExtra(MAX_TRAILER_BYTES);
		return next;
	}

	private State readText(byte each, State same, State lineEnd, int limitBytes) throws InvalidAnswerException {
		if (each == '\r') {
			return lineEnd;
		}
		check(FieldSyntax.isText(each), "control character in an extension or a trailer");
		countExtra(limitBytes);
		return same;
	}

	private void countExtra(int limitBytes) throws InvalidAnswerException {
		this.extraBytes++;
		check(this.extraBytes <= limitBytes, "extensions or trailers are too large");
	}

	private static State expect(byte each, char expected, State next) throws InvalidAnswerException {
		check(each == expected, "a chunk is malformed");
		return next;
	}

	private static void check(boolean condition, String message) throws InvalidAnswerException {
		if (!condition) {
			throw new InvalidAnswerException(message);
		}
	}

	/**
	 * What comes next.
	 */
	private enum State {

		SIZE, SIZE_BLANK, EXTENSION, SIZE_LF, DATA, DATA_CR, DATA_LF, TRAILER_START, TRAILER_NAME, TRAILER_VALUE,
		TRAILER_LF, END_LF, ENDED

	}

}
