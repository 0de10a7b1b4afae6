package org.gullsaddle.serve;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.gullsaddle.base.TeamId;

import static org.assertj.core.api.Assertions.assertThat;

class TeamBurstDetectorTests {

	private static final TeamId SMALL = new TeamId("small");

	private static final TeamId LARGE = new TeamId("large");

	private static final TeamId THIRD = new TeamId("third");

	private final TeamBurstDetector detector = new TeamBurstDetector();

	/**
	 * The large team sends three of five requests, the other teams one each.
	 */
	private void usualMinute() {
		for (long now = 0; now < 60_000; now += 500) {
			this.detector.recordRequest(SMALL, now);
			this.detector.recordRequest(THIRD, now);
			for (int i = 0; i < 3; i++) {
				this.detector.recordRequest(LARGE, now);
			}
		}
	}

	@Nested
	class WithUsualTraffic {

		@Test
		void noTeamIsBurstingNotEvenALargeOne() {
			usualMinute();
			assertThat(TeamBurstDetectorTests.this.detector.isBursting(LARGE, 60_000)).isFalse();
			assertThat(TeamBurstDetectorTests.this.detector.isBursting(SMALL, 60_000)).isFalse();
		}

		@Test
		void twoRequestsInARowAreNoBurst() {
			TeamBurstDetectorTests.this.detector.recordRequest(LARGE, 0);
			TeamBurstDetectorTests.this.detector.recordRequest(THIRD, 0);
			TeamBurstDetectorTests.this.detector.recordRequest(SMALL, 10);
			TeamBurstDetectorTests.this.detector.recordRequest(SMALL, 20);
			assertThat(TeamBurstDetectorTests.this.detector.isBursting(SMALL, 20)).isFalse();
		}

	}

	/**
	 * A small team sends ten times its usual requests for some seconds. Callers of other
	 * teams would wait behind them in the engines' queues although their traffic is
	 * unchanged.
	 */
	@Nested
	class WhenOneTeamSendsManyTimesItsUsual {

		private void burst() {
			usualMinute();
			for (long now = 60_000; now < 64_000; now += 50) {
				TeamBurstDetectorTests.this.detector.recordRequest(SMALL, now);
			}
		}

		@Test
		void onlyThatTeamIsBursting() {
			burst();
			assertThat(TeamBurstDetectorTests.this.detector.isBursting(SMALL, 64_000)).isTrue();
			assertThat(TeamBurstDetectorTests.this.detector.isBursting(LARGE, 64_000)).isFalse();
			assertThat(TeamBurstDetectorTests.this.detector.isBursting(THIRD, 64_000)).isFalse();
		}

		@Test
		void burstIsForgottenTwelveSecondsLater() {
			burst();
			for (long now = 64_000; now < 76_000; now += 500) {
				TeamBurstDetectorTests.this.detector.recordRequest(SMALL, now);
				TeamBurstDetectorTests.this.detector.recordRequest(THIRD, now);
				for (int i = 0; i < 3; i++) {
					TeamBurstDetectorTests.this.detector.recordRequest(LARGE, now);
				}
			}
			assertThat(TeamBurstDetectorTests.this.detector.isBursting(SMALL, 76_000)).isFalse();
		}

	}

}
