package org.gullsaddle.gateway;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SuspendDetectorTests {

	private static final long NOON = 1_000_000_000;

	private final SuspendDetector detector = new SuspendDetector();

	/**
	 * Guards against taking old knowledge for recent after the machine was suspended,
	 * since the monotonic clock stops meanwhile.
	 */
	@Test
	void suspensionIsDetected() {
		this.detector.check(1000, NOON);
		assertThat(this.detector.check(1050, NOON + 8050)).isEqualTo(8000);
		assertThat(this.detector.check(1100, NOON + 8100)).isZero();
	}

	@Test
	void clocksInStepAreNoSuspension() {
		this.detector.check(1000, NOON);
		assertThat(this.detector.check(9000, NOON + 8000)).isZero();
	}

	@Test
	void timeOfDaySetBackIsNoSuspension() {
		this.detector.check(1000, NOON);
		assertThat(this.detector.check(1050, NOON - 5000)).isZero();
		assertThat(this.detector.check(1100, NOON - 4950)).isZero();
	}

	@Test
	void shortSuspensionsAddUp() {
		this.detector.check(1000, NOON);
		assertThat(this.detector.check(1050, NOON + 250)).isZero();
		assertThat(this.detector.check(1100, NOON + 500)).isEqualTo(400);
	}

}
