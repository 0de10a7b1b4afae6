package org.gullsaddle.serve;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.gullsaddle.base.TeamId;

import static org.assertj.core.api.Assertions.assertThat;

class FairShareTests {

	private static final TeamId SMALL = new TeamId("small");

	private static final TeamId LARGE = new TeamId("large");

	private static final TeamId THIRD = new TeamId("third");

	private final FairShare shares = new FairShare();

	/**
	 * Lets the large team send three of five requests, the others one each.
	 */
	private void usualMinute() {
		for (long now = 0; now < 60_000; now += 500) {
			this.shares.sent(SMALL, now);
			this.shares.sent(THIRD, now);
			for (int i = 0; i < 3; i++) {
				this.shares.sent(LARGE, now);
			}
		}
	}

	@Nested
	class OnAUsualDay {

		@Test
		void noTeamIsOverItsShareAlsoNotALargeOne() {
			usualMinute();
			assertThat(FairShareTests.this.shares.over(LARGE, 60_000)).isFalse();
			assertThat(FairShareTests.this.shares.over(SMALL, 60_000)).isFalse();
		}

		@Test
		void twoRequestsInARowAreNoBurst() {
			FairShareTests.this.shares.sent(LARGE, 0);
			FairShareTests.this.shares.sent(THIRD, 0);
			FairShareTests.this.shares.sent(SMALL, 10);
			FairShareTests.this.shares.sent(SMALL, 20);
			assertThat(FairShareTests.this.shares.over(SMALL, 20)).isFalse();
		}

	}

	/**
	 * A small team sends ten times its usual for some seconds. Callers of the others wait
	 * behind its requests in the engines' queues, though they sent no more than ever.
	 */
	@Nested
	class WhenOneTeamSendsManyTimesItsUsual {

		private void burst() {
			usualMinute();
			for (long now = 60_000; now < 64_000; now += 50) {
				FairShareTests.this.shares.sent(SMALL, now);
			}
		}

		@Test
		void onlyItsRequestsWait() {
			burst();
			assertThat(FairShareTests.this.shares.over(SMALL, 64_000)).isTrue();
			assertThat(FairShareTests.this.shares.over(LARGE, 64_000)).isFalse();
			assertThat(FairShareTests.this.shares.over(THIRD, 64_000)).isFalse();
		}

		@Test
		void itIsForgottenSoonAfter() {
			burst();
			for (long now = 64_000; now < 76_000; now += 500) {
				FairShareTests.this.shares.sent(SMALL, now);
				FairShareTests.this.shares.sent(THIRD, now);
				for (int i = 0; i < 3; i++) {
					FairShareTests.this.shares.sent(LARGE, now);
				}
			}
			assertThat(FairShareTests.this.shares.over(SMALL, 76_000)).isFalse();
		}

	}

}
