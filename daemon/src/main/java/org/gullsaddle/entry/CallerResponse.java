package org.gullsaddle.entry;

import org.gullsaddle.base.Completion;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.Refusal;

/**
 * Receives the answer to a caller's request. Calls are sequential; the last one is either
 * {@link #complete} or {@link #refuse}.
 */
interface CallerResponse {

	/**
	 * Sends the caller a part of the answer.
	 * @param taken run when the caller can take more
	 */
	void deliver(ModelVersion version, String text, Runnable taken);

	/**
	 * Ends a complete answer.
	 */
	void complete(String servedBy, Completion completion, long costMicros);

	/**
	 * Sends the refusal in place of the answer, or of the rest of a partial one.
	 */
	void refuse(Refusal refusal);

}
