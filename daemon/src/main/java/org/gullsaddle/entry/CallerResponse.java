package org.gullsaddle.entry;

import org.gullsaddle.base.Completion;
import org.gullsaddle.base.ModelVersion;
import org.gullsaddle.base.Refusal;

/**
 * Where a caller's answer goes. Calls come one after another; exactly one of
 * {@link #complete} and {@link #refuse} comes, last.
 */
interface CallerResponse {

	/**
	 * Gives the caller a part of its answer.
	 * @param taken run once the caller can take more
	 */
	void deliver(ModelVersion version, String text, Runnable taken);

	/**
	 * Closes the answer; it is whole.
	 */
	void complete(String servedBy, Completion completion, long costMicros);

	/**
	 * Gives the caller its refusal, in place of the answer or of what is missing of it.
	 */
	void refuse(Refusal refusal);

}
