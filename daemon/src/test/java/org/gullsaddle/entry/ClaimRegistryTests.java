package org.gullsaddle.entry;

import java.io.IOException;

import org.junit.jupiter.api.Test;

import org.gullsaddle.base.Completion;
import org.gullsaddle.base.Fingerprint;
import org.gullsaddle.base.Json;
import org.gullsaddle.base.RequestId;
import org.gullsaddle.base.Usage;
import org.gullsaddle.route.CallOutcome;

import static org.assertj.core.api.Assertions.assertThat;

class ClaimRegistryTests {

	private static final String OPEN = "{\"request\":\"r1\",\"content\":\"c0ffee\"}";

	private static final String COMPLETED = """
			{"request":"r1","content":"c0ffee","outcome":{"request":"r1","servedBy":"booking@v1",\
			"completion":{"status":201,"contentType":"text/plain","finishReason":"stop",\
			"usage":{"promptTokens":1,"outputTokens":2}},"text":"ok"}}""";

	private static final RequestId REQUEST = new RequestId("r1");

	private static final Fingerprint CONTENT = new Fingerprint("c0ffee");

	/**
	 * Guards against a renamed record component, which a node of another build would
	 * ignore when it reads the stored claim.
	 */
	@Test
	void claimKeepsItsStoredFormat() throws IOException {
		ClaimRegistry.Claim open = new ClaimRegistry.Claim(REQUEST, CONTENT, null);
		ClaimRegistry.Claim completed = new ClaimRegistry.Claim(REQUEST, CONTENT, new CallOutcome(REQUEST, "booking@v1",
				new Completion(201, "text/plain", "stop", new Usage(1, 2)), "ok"));
		assertThat(Json.write(open)).isEqualTo(OPEN);
		assertThat(Json.write(completed)).isEqualTo(COMPLETED);
		assertThat(Json.read(OPEN, ClaimRegistry.Claim.class)).isEqualTo(open);
		assertThat(Json.read(COMPLETED, ClaimRegistry.Claim.class)).isEqualTo(completed);
	}

}
