package org.gullsaddle.gateway;

import java.util.Optional;
import java.util.OptionalInt;

import org.gullsaddle.base.LoadReport;
import org.gullsaddle.serve.Backpressure;

/**
 * What the head of a replica's answer says, in the product's terms.
 *
 * @param status the HTTP status
 * @param attemptId the id of the attempt that it answers, if it names one
 * @param signed whether it bears the replica's signature
 * @param notRun whether it states that the replica did not and will not run the request
 * @param load the replica's load, if it tells
 * @param slowdownPercent how long work takes on its machine now, 100 as usual, if it
 * tells
 * @param confidence the model's own opinion of its answer, 0 to 100, if it tells
 * @param leaving whether the replica says that it leaves
 * @param closesConnection whether the connection ends with the answer
 * @param keepAliveMillis how long the replica keeps the connection when idle, in
 * milliseconds
 * @param encoded whether the body is encoded, so that it is not the replica's own
 * @param backpressure how the replica asks for fewer requests
 */
public record ReplicaAnswer(int status, Optional<String> attemptId, boolean signed, boolean notRun,
		Optional<LoadReport> load, OptionalInt slowdownPercent, OptionalInt confidence, boolean leaving,
		boolean closesConnection, long keepAliveMillis, boolean encoded, Backpressure backpressure) {

	/**
	 * Says whether the status is one of success.
	 * @return true for 200 to 299
	 */
	public boolean isSuccess() {
		return HttpStatuses.isSuccess(this.status);
	}

}
