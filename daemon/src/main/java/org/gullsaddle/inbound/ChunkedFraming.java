package org.gullsaddle.inbound;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;

/**
 * Chunked body. The decoder gets it without chunk extensions and trailers, which no
 * recipient has to keep (RFC 9112, 7.1): it would hold them in memory until they end.
 */
final class ChunkedFraming implements BodyFraming {

	/**
	 * Chunks that are taken at once: the server may pause, but only between reads.
	 */
	private static final int MAX_CHUNKS = 64;

	private static final int MAX_SIZE_DIGITS = 8;

	private static final int RADIX = 16;

	private static final String LINE_END = "\r\n";

	private final ByteBufAllocator allocator;

	private final int limitBytes;

	private State state = State.SIZE;

	/** Bytes of the chunk that are still to come. */
	private long remainingBytes;

	private int digits;

	/** Received bytes of an extension, or of all trailers. */
	private int ignoredBytes;

	private int lineBytes;

	/**
	 * Creates the framing.
	 * @param limitBytes largest size of an extension and of all trailers, in bytes
	 */
	ChunkedFraming(ByteBufAllocator allocator, int limitBytes) {
		this.allocator = allocator;
		this.limitBytes = limitBytes;
	}

	@Override
	public boolean hasEnded() {
		return this.state == State.ENDED;
	}

	@Override
	public ByteBuf take(ByteBuf in) throws MalformedBodyException {
		ByteBuf out = this.allocator.heapBuffer(in.readableBytes() + MAX_SIZE_DIGITS + LINE_END.length());
		try {
			int chunks = 0;
			while (in.isReadable() && !hasEnded() && chunks < MAX_CHUNKS) {
				State before = this.state;
				step(in, out);
				chunks += (before == State.DATA_END && this.state == State.SIZE) ? 1 : 0;
			}
			return out.retain();
		}
		finally {
			out.release();
		}
	}

	private void step(ByteBuf in, ByteBuf out) throws MalformedBodyException {
		switch (this.state) {
			case SIZE -> readSize(in.readByte(), out);
			case EXTENSION -> {
				if (readIgnored(in.readByte())) {
					endSize(out);
				}
			}
			case DATA -> {
				int taken = (int) Math.min(this.remainingBytes, in.readableBytes());
				out.writeBytes(in, taken);
				this.remainingBytes -= taken;
				this.state = (this.remainingBytes == 0) ? State.DATA_END : State.DATA;
			}
			case DATA_END -> readDataEnd(in.readByte(), out);
			case TRAILERS -> readTrailer(in.readByte(), out);
			case ENDED -> throw new IllegalStateException("the body has ended");
		}
	}

	private void readSize(byte each, ByteBuf out) throws MalformedBodyException {
		int digit = Character.digit(each, RADIX);
		if (digit >= 0 && this.digits < MAX_SIZE_DIGITS) {
			this.remainingBytes = this.remainingBytes * RADIX + digit;
			this.digits++;
		}
		else if (this.digits == 0 || digit >= 0 || this.remainingBytes > Integer.MAX_VALUE) {
			throw new MalformedBodyException("a chunk has no valid size");
		}
		else if (each == '\n') {
			endSize(out);
		}
		else if (each == ';' || each == '\r' || each == ' ' || each == '\t') {
			this.state = State.EXTENSION;
		}
		else {
			throw new MalformedBodyException("a chunk has no valid size");
		}
	}

	private boolean readIgnored(byte each) throws MalformedBodyException {
		this.ignoredBytes++;
		if (this.ignoredBytes > this.limitBytes) {
			throw new MalformedBodyException("extensions or trailers are larger than " + this.limitBytes + " bytes");
		}
		return each == '\n';
	}

	private void endSize(ByteBuf out) {
		ByteBufUtil.writeAscii(out, Long.toHexString(this.remainingBytes) + LINE_END);
		this.digits = 0;
		this.ignoredBytes = 0;
		this.state = (this.remainingBytes == 0) ? State.TRAILERS : State.DATA;
	}

	private void readDataEnd(byte each, ByteBuf out) throws MalformedBodyException {
		if (each == '\n') {
			ByteBufUtil.writeAscii(out, LINE_END);
			this.lineBytes = 0;
			this.state = State.SIZE;
		}
		else if (each != '\r' || this.lineBytes > 0) {
			throw new MalformedBodyException("a chunk is longer than its size");
		}
		else {
			this.lineBytes++;
		}
	}

	private void readTrailer(byte each, ByteBuf out) throws MalformedBodyException {
		boolean lineEnd = readIgnored(each);
		if (!lineEnd) {
			this.lineBytes += (each == '\r') ? 0 : 1;
		}
		else if (this.lineBytes > 0) {
			this.lineBytes = 0;
		}
		else {
			ByteBufUtil.writeAscii(out, LINE_END);
			this.state = State.ENDED;
		}
	}

	/**
	 * What comes next.
	 */
	private enum State {

		SIZE, EXTENSION, DATA, DATA_END, TRAILERS, ENDED

	}

}
