package org.gullsaddle.gateway;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;

/**
 * Where the bytes of a caller's answer go.
 */
sealed interface AnswerSink permits AnswerSink.Direct, FlowControlledSink {

	void write(Buffer bytes);

	/**
	 * Ends the answer, which is whole.
	 */
	void end(Buffer rest);

	/**
	 * Forgets what was not sent, as the answer is broken off.
	 */
	void discard();

	/**
	 * Notes that bytes were read from a replica.
	 * @param from the attempt that they are of
	 * @param kept how many are held back, as they make no event or answer yet
	 */
	void onRead(Attempt from, int kept);

	/**
	 * Leaves it to the connection what its caller does not take.
	 *
	 * @param response the answer
	 */
	record Direct(HttpServerResponse response) implements AnswerSink {

		@Override
		public void write(Buffer bytes) {
			this.response.write(bytes);
		}

		@Override
		public void end(Buffer rest) {
			this.response.end(rest);
		}

		@Override
		public void discard() {
			// Nothing is held here.
		}

		@Override
		public void onRead(Attempt from, int kept) {
			// The replica is read as fast as it sends.
		}

	}

}
