package org.gullsaddle.inbound;

import io.netty.buffer.ByteBuf;

/**
 * Framing of a request's body, which tells where the next request begins.
 */
sealed interface BodyFraming permits BodyFraming.None, BodyFraming.Fixed, ChunkedFraming {

	/**
	 * Takes bytes of the body.
	 * @param in what was received; what is not taken stays there
	 * @return what the decoder gets, empty if it is to wait for more
	 * @throws MalformedBodyException if the framing cannot be parsed
	 */
	ByteBuf take(ByteBuf in) throws MalformedBodyException;

	/**
	 * Returns whether the body has ended.
	 */
	boolean hasEnded();

	/**
	 * Request without a body.
	 */
	record None() implements BodyFraming {

		@Override
		public ByteBuf take(ByteBuf in) {
			return in.readRetainedSlice(0);
		}

		@Override
		public boolean hasEnded() {
			return true;
		}

	}

	/**
	 * Body whose length was given.
	 */
	final class Fixed implements BodyFraming {

		private long remainingBytes;

		Fixed(long length) {
			this.remainingBytes = length;
		}

		@Override
		public ByteBuf take(ByteBuf in) {
			int taken = (int) Math.min(this.remainingBytes, in.readableBytes());
			this.remainingBytes -= taken;
			return in.readRetainedSlice(taken);
		}

		@Override
		public boolean hasEnded() {
			return this.remainingBytes == 0;
		}

	}

}
