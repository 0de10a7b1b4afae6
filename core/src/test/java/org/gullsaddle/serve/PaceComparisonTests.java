package org.gullsaddle.serve;

import org.junit.jupiter.api.Test;

import org.gullsaddle.fleet.ReplicaId;

import static org.assertj.core.api.Assertions.assertThat;

class PaceComparisonTests {

	private static final ReplicaId REPLICA = new ReplicaId("new");

	private static final long IN_TIME_MILLIS = 100;

	private static final long LATE_MILLIS = 400;

	private static final double EXPECTED_MILLIS = 100;

	private final PaceComparison pace = new PaceComparison();

	private double evidence(long at, long millis) {
		return this.pace.evidenceOf(REPLICA, at, millis, EXPECTED_MILLIS).orElse(0);
	}

	/** Guards against a release that is slow with short answers only. */
	@Test
	void lateAnswerSpeaksAgainstTheReleaseHoweverShort() {
		this.pace.recordOldAnswer(1000, IN_TIME_MILLIS, EXPECTED_MILLIS);
		assertThat(evidence(1000, LATE_MILLIS)).isGreaterThan(1);
		assertThat(evidence(1000, IN_TIME_MILLIS)).isNegative();
	}

	/**
	 * Guards against a good release that is blamed for a burst that delays both releases.
	 */
	@Test
	void lateAnswersOfTheOldReleaseExcuseThoseOfTheNewOne() {
		for (int i = 0; i < 60; i++) {
			this.pace.recordOldAnswer(1000 + i, LATE_MILLIS, EXPECTED_MILLIS);
		}
		assertThat(evidence(1100, LATE_MILLIS)).isLessThan(0.4);
	}

	/**
	 * Guards against a good release that is blamed once for each request that waited
	 * behind one long prompt.
	 */
	@Test
	void answersThatBeginTogetherAreOneEvent() {
		this.pace.recordOldAnswer(1000, IN_TIME_MILLIS, EXPECTED_MILLIS);
		assertThat(evidence(1000, LATE_MILLIS)).isPositive();
		assertThat(evidence(1200, LATE_MILLIS)).isZero();
		assertThat(evidence(1260, LATE_MILLIS)).isPositive();
	}

	/**
	 * Guards against a good release that is blamed for the load that it gets once it
	 * serves all requests.
	 */
	@Test
	void withoutTheOldReleaseNothingIsCompared() {
		assertThat(evidence(1000, LATE_MILLIS)).isZero();
		this.pace.recordOldAnswer(1000, IN_TIME_MILLIS, EXPECTED_MILLIS);
		assertThat(evidence(3001, LATE_MILLIS)).isZero();
	}

}
