package org.gullsaddle.serve;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.gullsaddle.base.TeamId;

import static org.assertj.core.api.Assertions.assertThat;

class TeamBurstDetectorTests {

	private static final TeamId SMALL = new TeamId("small");

	private static final TeamId LARGE = new TeamId("large");

	private static final TeamId THIRD = new TeamId("third");

	private final TeamBurstDetector shares = new TeamBurstDetector();

	/**
	 * The large team sends three of five requests, the other teams one each.
	 */
	private void usualMinute() {
		for (long now = 0; now < 60_000; now += 500) {
			this.shares.recordRequest(SMALL, now);
			this.shares.recordRequest(THIRD, now);
			for (int i = 0; i < 3; i++) {
				this.shares.recordRequest(LARGE, now);
			}
		}
	}

	@Nested
	class OnAUsualDay {

		@Test
		void noTeamIsOverItsShareAlsoNotALargeOne() {
			usualMinute();
			assertThat(TeamBurstDetectorTests.this.shares.isBursting(LARGE, 60_000)).isFalse();
			assertThat(TeamBurstDetectorTests.this.shares.isBursting(SMALL, 60_000)).isFalse();
		}

		@Test
		void twoRequestsInARowAreNoBurst() {
			TeamBurstDetectorTests.this.shares.recordRequest(LARGE, 0);
			TeamBurstDetectorTests.this.shares.recordRequest(THIRD, 0);
			TeamBurstDetectorTests.this.shares.recordRequest(SMALL, 10);
			TeamBurstDetectorTests.this.shares.recordRequest(SMALL, 20);
			assertThat(TeamBurstDetectorTests.this.shares.isBursting(SMALL, 20)).isFalse();
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
				TeamBurstDetectorTests.this.shares.recordRequest(SMALL, now);
			}
		}

		@Test
		void onlyItsRequestsWait() {
			burst();
			assertThat(TeamBurstDetectorTests.this.shares.isBursting(SMALL, 64_000)).isTrue();
			assertThat(TeamBurstDetectorTests.this.shares.isBursting(LARGE, 64_000)).isFalse();
			assertThat(TeamBurstDetectorTests.this.shares.isBursting(THIRD, 64_000)).isFalse();
		}

		@Test
		void itIsForgottenSoonAfter() {
			burst();
			for (long now = 64_000; now < 76_000; now += 500) {
				TeamBurstDetectorTests.this.shares.recordRequest(SMALL, now);
				TeamBurstDetectorTests.this.shares.recordRequest(THIRD, now);
				for (int i = 0; i < 3; i++) {
					TeamBurstDetectorTests.this.shares.recordRequest(LARGE, now);
				}
			}
			assertThat(TeamBurstDetectorTests.this.shares.isBursting(SMALL, 76_000)).isFalse();
		}

	}

}
