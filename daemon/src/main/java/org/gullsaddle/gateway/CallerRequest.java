package org.gullsaddle.gateway;

import java.util.Optional;
import java.util.OptionalLong;

import org.gullsaddle.serve.Prompt;

/**
 * Contents of a caller's request, in the gateway's own types.
 *
 * @param attemptId the caller's id of this attempt, empty if it sent none
 * @param host its Host header
 * @param path its path without the query
 * @param timeoutMillis how long the caller waits, in milliseconds, if given
 * @param apiKey the API key that it presents, if any
 * @param model the requested model, empty if the choice is left to the gateway
 * @param prompt the description of its prompt
 * @param session the session that it belongs to, if any
 * @param lastEventId the id of the last event that the caller received, if it resumes a
 * stream
 */
public record CallerRequest(Optional<String> attemptId, String host, String path, OptionalLong timeoutMillis,
		Optional<String> apiKey, String model, Prompt prompt, Optional<String> session, Optional<String> lastEventId) {

	/**
	 * Returns a placeholder for a request that could not be read.
	 * @return an empty request
	 */
	static CallerRequest unreadable() {
		return new CallerRequest(Optional.empty(), "", "", OptionalLong.empty(), Optional.empty(), "", Prompt.NONE,
				Optional.empty(), Optional.empty());
	}

}
