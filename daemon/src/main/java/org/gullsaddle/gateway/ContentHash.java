package org.gullsaddle.gateway;

import com.dynatrace.hash4j.hashing.Hashing;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;

import org.gullsaddle.base.Fingerprint;

/**
 * Hash that is equal for repeats of a request: same team and same content.
 */
final class ContentHash {

	private ContentHash() {
	}

	static Fingerprint of(String team, HttpMethod method, String host, String uri, Buffer body) {
		return new Fingerprint(Hashing.murmur3_128()
			.hashStream()
			.putString(team)
			.putString(method.name())
			.putString(host)
			.putString(uri)
			.putByteArray(body.getBytes())
			.get()
			.toString());
	}

}
