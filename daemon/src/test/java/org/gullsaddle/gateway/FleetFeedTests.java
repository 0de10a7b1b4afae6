package org.gullsaddle.gateway;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FleetFeedTests {

	/**
	 * Many replicas write their heartbeats, so that each call for changes is answered at
	 * once. Asked again at once, the store would be asked as often as all replicas beat,
	 * by every node.
	 */
	@Nested
	class WhenChangesComeAllTheTime {

		@Test
		void nextCallBeginsASecondAfterTheLastOne() {
			assertThat(FleetFeed.pause(5000, 5004)).isEqualTo(996);
		}

	}

	@Nested
	class WhenACallHasWaitedLong {

		@Test
		void nextCallBeginsAtOnce() {
			assertThat(FleetFeed.pause(5000, 6000)).isZero();
			assertThat(FleetFeed.pause(5000, 7500)).isZero();
		}

	}

}
