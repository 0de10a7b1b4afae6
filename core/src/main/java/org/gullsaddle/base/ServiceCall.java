package org.gullsaddle.base;

/**
 * A call that passes through to a plain service.
 *
 * @param method the HTTP method
 * @param path the path and query, from the service's root
 * @param contentType the content type of the body, or empty
 * @param idempotencyKey the caller's idempotency key, or empty
 * @param body the body's bytes, one character each (ISO 8859-1)
 */
public record ServiceCall(String method, String path, String contentType, String idempotencyKey, String body) {

	public ServiceCall {
		Check.notNull(method, "method");
		Check.that(path.startsWith("/"), "path must start with a slash");
		Check.notNull(contentType, "contentType");
		Check.notNull(idempotencyKey, "idempotencyKey");
		Check.notNull(body, "body");
	}

}
