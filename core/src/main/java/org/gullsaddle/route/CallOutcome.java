package org.gullsaddle.route;

import org.gullsaddle.base.Check;
import org.gullsaddle.base.Completion;
import org.gullsaddle.base.RequestId;

/**
 * The answer to a call that may run only once, stored so that the same call sent again
 * gets the same answer.
 *
 * @param request the request that ran
 * @param servedBy the version that served it
 * @param completion how the answer ended
 * @param text the text of the answer
 */
public record CallOutcome(RequestId request, String servedBy, Completion completion, String text) {

	public CallOutcome {
		Check.notNull(request, "request");
		Check.notNull(servedBy, "servedBy");
		Check.notNull(completion, "completion");
		Check.notNull(text, "text");
	}

}
