package org.gullsaddle.serve;

/**
 * The key that decides which release serves a request.
 *
 * @param value the value that is hashed: the session, or an identifier of the request
 * without one
 * @param session whether earlier and later requests may have the same value
 * @param route the route
 * @param promptTokens the size of the prompt in tokens, 0 without a prompt
 */
public record ReleaseKey(String value, boolean session, String route, long promptTokens) {

	/**
	 * Creates the key of a request without a prompt.
	 * @param value the value that is hashed
	 * @param session whether earlier and later requests may have the same value
	 */
	public ReleaseKey(String value, boolean session) {
		this(value, session, "", 0);
	}

}
