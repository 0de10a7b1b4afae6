package org.gullsaddle.gateway;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;

/**
 * Reads the whole body of an answer up to a limit.
 */
final class BoundedBody {

	private BoundedBody() {
	}

	/**
	 * Reads a body.
	 * @param response the answer, of whose body nothing was read yet
	 * @param maxBytes the largest body that is read
	 * @return the body; fails once it is larger, or if it breaks off
	 */
	static Future<Buffer> read(HttpClientResponse response, int maxBytes) {
		Promise<Buffer> whole = Promise.promise();
		Buffer body = Buffer.buffer();
		response.exceptionHandler(whole::tryFail);
		response.handler((bytes) -> {
			if (body.length() + bytes.length() > maxBytes) {
				whole.tryFail("the body is larger than " + maxBytes + " bytes");
			}
			else {
				body.appendBuffer(bytes);
			}
		});
		response.endHandler((nothing) -> whole.tryComplete(body));
		return whole.future();
	}

}
