package org.gullsaddle.gateway;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StallDetectorTests {

	private final StallDetector detector = new StallDetector();

	/**
	 * Guards against rerunning a stream after a stall: the node is frozen for three
	 * seconds, and the events that arrived meanwhile are still unread at its first check.
	 */
	@Test
	void silenceDuringAStallDoesNotCount() {
		this.detector.check(1000);
		assertThat(this.detector.check(4000)).isEqualTo(3000);
		assertThat(this.detector.silentSince(990)).isEqualTo(4000);
		assertThat(this.detector.silentSince(4100)).isEqualTo(4100);
	}

	/**
	 * Guards against running requests of callers that left before the requests were read.
	 */
	@Test
	void nodeIsBehindFromAMissedCheckUntilItHasCaughtUp() {
		this.detector.check(1000);
		assertThat(this.detector.isBehind(1100)).isFalse();
		assertThat(this.detector.isBehind(1250)).isTrue();
		this.detector.check(1250);
		assertThat(this.detector.isBehind(1300)).isTrue();
		this.detector.check(2240);
		assertThat(this.detector.isBehind(4000)).isTrue();
		this.detector.check(2260);
		assertThat(this.detector.isBehind(2310)).isTrue();
		this.detector.check(2310);
		assertThat(this.detector.isBehind(3300)).isTrue();
	}

	@Test
	void nodeThatChecksInTimeIsNotBehind() {
		for (long now = 0; now < 5000; now += 50) {
			this.detector.check(now);
			assertThat(this.detector.isBehind(now + 60)).isFalse();
		}
	}

	@Test
	void slightlyLateChecksAreNoStall() {
		this.detector.check(1000);
		assertThat(this.detector.check(1300)).isZero();
		assertThat(this.detector.silentSince(990)).isEqualTo(990);
	}

}
