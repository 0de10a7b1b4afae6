package org.gullsaddle.gateway;

import java.util.Optional;
import java.util.OptionalLong;

import org.gullsaddle.serve.Prompt;

/**
 * What a caller's request says, in the product's terms.
 *
 * @param attemptId the caller's id of this attempt, empty if it sent none
 * @param host the host that it names
 * @param path its path without the query
 * @param timeoutMillis how long the caller waits, in milliseconds, if it said so
 * @param apiKey the key that it presents, if any
 * @param model the model that it names, empty if it names none or leaves the choice to
 * the router
 * @param prompt what it says of its prompt
 * @param session the session that it belongs to, if any
 * @param lastEventId the last event of a stream that the caller has, if it goes on with
 * one
 */
public record CallerRequest(Optional<String> attemptId, String host, String path, OptionalLong timeoutMillis,
		Optional<String> apiKey, String model, Prompt prompt, Optional<String> session, Optional<String> lastEventId) {

	/**
	 * Returns what stands for a request that could not be read.
	 * @return a request that says nothing
	 */
	static CallerRequest unreadable() {
		return new CallerRequest(Optional.empty(), "", "", OptionalLong.empty(), Optional.empty(), "", Prompt.NONE,
				Optional.empty(), Optional.empty());
	}

}
