package org.gullsaddle.gateway;

import org.junit.jupiter.api.Test;

import org.gullsaddle.telemetry.Telemetry;

import static org.assertj.core.api.Assertions.assertThat;

class RetryAfterAdvisorTests {

	/**
	 * Guards against changed retry delays where callers do not compete for capacity.
	 */
	@Test
	void withoutPressureTheShortestDelayIsReturned() {
		assertThat(new RetryAfterAdvisor(false, new Telemetry()).retryAfterMillis(null, 300)).isEqualTo(300);
	}

}
