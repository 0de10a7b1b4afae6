package org.gullsaddle.outbound;

import io.netty.buffer.ByteBuf;

/**
 * Body of an answer, which tells where the answer ends (RFC 9112, 6.3).
 */
sealed interface AnswerBody permits AnswerBody.Fixed, AnswerBody.UntilClose, ChunkedBody {

	/**
	 * Checks bytes of the body.
	 * @param in what was received; its reader index is not moved
	 * @return how many of the readable bytes belong to the body
	 * @throws InvalidAnswerException if the framing is not valid
	 */
	int check(ByteBuf in) throws InvalidAnswerException;

	/**
	 * Returns whether the body has ended.
	 */
	boolean hasEnded();

	/**
	 * Body whose length was given, possibly 0.
	 */
	final class Fixed implements AnswerBody {

		private long remainingBytes;

		Fixed(long length) {
			this.remainingBytes = length;
		}

		@Override
		public int check(ByteBuf in) {
			int bytes = (int) Math.min(this.remainingBytes, in.readableBytes());
			this.remainingBytes -= bytes;
			return bytes;
		}

		@Override
		public boolean hasEnded() {
			return this.remainingBytes == 0;
		}

	}

	/**
	 * Body that ends with its connection.
	 */
	record UntilClose() implements AnswerBody {

		@Override
		public int check(ByteBuf in) {
			return in.readableBytes();
		}

		@Override
		public boolean hasEnded() {
			return false;
		}

	}

}
