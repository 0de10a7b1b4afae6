package org.gullsaddle.serve;

/**
 * What decides by which release a request is served.
 *
 * @param value what it keeps its release by: its session, or what else tells requests
 * apart
 * @param session whether requests before and after it may have the same value
 * @param route its route
 * @param promptTokens how large its prompt is, 0 for a request without one
 */
public record ReleaseKey(String value, boolean session, String route, long promptTokens) {

	/**
	 * Makes the key of a request without a prompt.
	 * @param value what it keeps its release by
	 * @param session whether requests before and after it may have the same value
	 */
	public ReleaseKey(String value, boolean session) {
		this(value, session, "", 0);
	}

}
