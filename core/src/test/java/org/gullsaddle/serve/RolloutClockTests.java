package org.gullsaddle.serve;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Nodes agree on the elapsed time of a roll-out, whenever they learned of it. */
class RolloutClockTests {

	private static final long UNIX_MILLIS_AT_ZERO = 1_700_000_000_000L;

	/** When the first replica starts: 300 ms after the order at 1000. */
	private static final long STARTED_AT = UNIX_MILLIS_AT_ZERO + 1300;

	private static RolloutClock learnedAt(long asked, long now) {
		return new RolloutClock(asked, now);
	}

	/** Guards against nodes that change the share at different times. */
	@Test
	void nodesThatLearnOfTheOrderAtDifferentTimesAgree() {
		RolloutClock early = learnedAt(0, 1010);
		RolloutClock late = learnedAt(900, 2500);
		early.onReplicaStarted(2510, UNIX_MILLIS_AT_ZERO + 2510, STARTED_AT);
		late.onReplicaStarted(2500, UNIX_MILLIS_AT_ZERO + 2500, STARTED_AT);
		assertThat(early.elapsedMillis(10_000)).isEqualTo(8700);
		assertThat(late.elapsedMillis(10_000)).isEqualTo(8700);
	}

	/** Guards against nodes that learn of the replicas in different orders. */
	@Test
	void earliestReplicaStartCountsInAnyOrderOfArrival() {
		RolloutClock time = learnedAt(0, 1010);
		time.onReplicaStarted(2510, UNIX_MILLIS_AT_ZERO + 2510, STARTED_AT + 400);
		time.onReplicaStarted(2520, UNIX_MILLIS_AT_ZERO + 2520, STARTED_AT);
		time.onReplicaStarted(2530, UNIX_MILLIS_AT_ZERO + 2530, STARTED_AT + 200);
		assertThat(time.elapsedMillis(10_000)).isEqualTo(8700);
	}

	/** Guards against a node that starts during a roll-out and takes it for a new one. */
	@Test
	void nodeThatStartsLateCountsFromTheFirstReplicasStart() {
		RolloutClock time = learnedAt(-10_000, 9000);
		time.onReplicaStarted(9000, UNIX_MILLIS_AT_ZERO + 9000, STARTED_AT);
		assertThat(time.elapsedMillis(10_000)).isEqualTo(8700);
	}

	/** Guards against a time of day that jumped before it was read. */
	@Test
	void startOutsideThePossibleIntervalIsIgnored() {
		RolloutClock time = learnedAt(0, 1010);
		time.onReplicaStarted(2510, UNIX_MILLIS_AT_ZERO + 2510 + 60_000, STARTED_AT);
		time.onReplicaStarted(2510, UNIX_MILLIS_AT_ZERO + 2510 - 60_000, STARTED_AT);
		assertThat(time.elapsedMillis(10_000)).isEqualTo(8990);
	}

	/** Guards against a time of day that jumps after it was read. */
	@Test
	void timeOfDayIsReadOnce() {
		RolloutClock time = learnedAt(0, 1010);
		time.onReplicaStarted(2510, UNIX_MILLIS_AT_ZERO + 2510, STARTED_AT + 100);
		time.onReplicaStarted(4000, UNIX_MILLIS_AT_ZERO + 4000 - 1000, STARTED_AT);
		assertThat(time.elapsedMillis(10_000)).isEqualTo(8700);
	}

	/** Guards against a release that was listed long before its roll-out. */
	@Test
	void replicaThatStartedBeforeTheOrderDoesNotCount() {
		RolloutClock time = learnedAt(900, 1010);
		time.onReplicaStarted(1010, UNIX_MILLIS_AT_ZERO + 1010, UNIX_MILLIS_AT_ZERO - 50_000);
		time.onReplicaStarted(2510, UNIX_MILLIS_AT_ZERO + 2510, STARTED_AT);
		time.onReplicaStarted(2510, UNIX_MILLIS_AT_ZERO + 2510, UNIX_MILLIS_AT_ZERO - 50_000);
		assertThat(time.elapsedMillis(10_000)).isEqualTo(8700);
	}

	/** Guards against a wrong time of day at a node that starts late. */
	@Test
	void peersFarAheadShowThatTheLocalClockIsWrong() {
		RolloutClock time = learnedAt(-10_000, 9000);
		time.onReplicaStarted(9000, UNIX_MILLIS_AT_ZERO + 9000 - 6000, STARTED_AT);
		assertThat(time.elapsedMillis(9000)).isEqualTo(1700);
		time.onElapsedReported(9000, 7600);
		assertThat(time.elapsedMillis(9000)).isEqualTo(7600);
	}

	@Test
	void elapsedTimeOfPeersCountsWithoutAnyReplicaStart() {
		RolloutClock time = learnedAt(-10_000, 9000);
		time.onReplicaStarted(9000, UNIX_MILLIS_AT_ZERO + 9000, 0);
		time.onElapsedReported(9000, 7600);
		time.onElapsedReported(9500, 4000);
		assertThat(time.elapsedMillis(10_000)).isEqualTo(8600);
	}

}
