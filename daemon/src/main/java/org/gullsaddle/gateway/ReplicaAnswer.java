package org.gullsaddle.gateway;

import java.util.Optional;
import java.util.OptionalInt;

import org.gullsaddle.base.LoadReport;
import org.gullsaddle.serve.Backpressure;

/**
 * Head of a replica's answer, in the gateway's own types.
 *
 * @param status the HTTP status
 * @param attemptId id of the attempt that it answers, if given
 * @param signed whether it carries the replica's signature
 * @param notRun whether it states that the replica did not and will not run the request
 * @param load the replica's reported load, if any
 * @param slowdownPercent reported slowdown of work on the replica's machine, 100 as
 * usual, if any
 * @param confidence the model's confidence in its answer, 0 to 100, if reported
 * @param leaving whether the replica announces that it is leaving
 * @param encoded whether the body has a content encoding, so that it is not the replica's
 * own
 * @param backpressure the replica's rate limit and back-off, if any
 */
public record ReplicaAnswer(int status, Optional<String> attemptId, boolean signed, boolean notRun,
		Optional<LoadReport> load, OptionalInt slowdownPercent, OptionalInt confidence, boolean leaving,
		boolean encoded, Backpressure backpressure) {

	/**
	 * Returns whether the status is a success.
	 * @return true for 200 to 299
	 */
	public boolean isSuccess() {
		return HttpStatuses.isSuccess(this.status);
	}

}
