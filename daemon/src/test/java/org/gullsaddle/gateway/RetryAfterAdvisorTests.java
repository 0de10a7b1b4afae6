package org.gullsaddle.gateway;

import org.junit.jupiter.api.Test;

import org.gullsaddle.telemetry.Telemetry;

import static org.assertj.core.api.Assertions.assertThat;

class RetryAfterAdvisorTests {

	/** Guards against other times where callers do not compete for room. */
	@Test
	void withoutPressureTheSoonestIsTold() {
		assertThat(new RetryAfterAdvisor(false, new Telemetry()).retryAfterMillis(null, 300)).isEqualTo(300);
	}

}
