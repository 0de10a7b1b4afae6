package org.gullsaddle.gateway;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StallDetectorTests {

	private final StallDetector watch = new StallDetector();

	/**
	 * Guards against rerunning a stream after a stall: the node is frozen for three
	 * seconds, and the events that arrived meanwhile are still unread at its first check.
	 */
	@Test
	void silenceWhileTheProcessStoodStillDoesNotCount() {
		this.watch.check(1000);
		assertThat(this.watch.check(4000)).isEqualTo(3000);
		assertThat(this.watch.silentSince(990)).isEqualTo(4000);
		assertThat(this.watch.silentSince(4100)).isEqualTo(4100);
	}

	/**
	 * Guards against running requests of callers that left before the requests were read.
	 */
	@Test
	void nodeIsBehindFromAMissedLookUntilItHasCaughtUp() {
		this.watch.check(1000);
		assertThat(this.watch.isBehind(1100)).isFalse();
		assertThat(this.watch.isBehind(1250)).isTrue();
		this.watch.check(1250);
		assertThat(this.watch.isBehind(1300)).isTrue();
		this.watch.check(2240);
		assertThat(this.watch.isBehind(4000)).isTrue();
		this.watch.check(2260);
		assertThat(this.watch.isBehind(2310)).isTrue();
		this.watch.check(2310);
		assertThat(this.watch.isBehind(3300)).isTrue();
	}

	@Test
	void nodeThatLooksInTimeIsNotBehind() {
		for (long now = 0; now < 5000; now += 50) {
			this.watch.check(now);
			assertThat(this.watch.isBehind(now + 60)).isFalse();
		}
	}

	@Test
	void looksThatAreALittleLateAreNoStandstill() {
		this.watch.check(1000);
		assertThat(this.watch.check(1300)).isZero();
		assertThat(this.watch.silentSince(990)).isEqualTo(990);
	}

}
