package org.gullsaddle.gateway;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;

/**
 * Receives the bytes of an answer to a caller.
 */
sealed interface AnswerSink permits AnswerSink.Direct, FlowControlledSink {

	void write(Buffer bytes);

	/**
	 * Ends a complete answer.
	 */
	void end(Buffer rest);

	/**
	 * Discards unsent bytes because the answer is aborted.
	 */
	void discard();

	/**
	 * Handles bytes that were read from a replica.
	 * @param attempt the attempt that received them
	 * @param incompleteBytes number of bytes buffered because they do not yet form a
	 * complete event or answer
	 */
	void onRead(Attempt attempt, int incompleteBytes);

	/**
	 * Writes a short answer of this node itself straight to the response.
	 *
	 * @param response the response to the caller
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
			// Nothing is buffered here.
		}

		@Override
		public void onRead(Attempt attempt, int incompleteBytes) {
			// Nothing is read from a replica.
		}

	}

}
