package org.gullsaddle.base;

/**
 * The end of a complete answer to an attempt.
 *
 * @param status the HTTP status of the backend server's answer
 * @param contentType the content type of the answer
 * @param finishReason why generation ended, such as {@code stop}; empty for a plain
 * service
 * @param usage the tokens used
 */
public record Completion(int status, String contentType, String finishReason, Usage usage) {

	public Completion {
		Check.notNull(contentType, "contentType");
		Check.notNull(finishReason, "finishReason");
		Check.notNull(usage, "usage");
	}

}
