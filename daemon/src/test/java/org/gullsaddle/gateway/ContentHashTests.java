package org.gullsaddle.gateway;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ContentHashTests {

	/**
	 * Guards against nodes of different builds that hash the same request differently.
	 */
	@Test
	void hashIsStableAcrossBuilds() {
		assertThat(ContentHash.of("gold", HttpMethod.POST, "api.example", "/chat", Buffer.buffer("{}")))
			.hasToString("0xb59ba6c10f41e3e49d89c4dac27454d1");
	}

}
