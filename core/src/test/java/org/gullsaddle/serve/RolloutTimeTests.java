package org.gullsaddle.serve;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Nodes agree on how long ago a roll-out began, whenever they learned of it. */
class RolloutTimeTests {

	private static final long CLOCK = 1_700_000_000_000L;

	/** When the first replica starts: 300 ms after the order at 1000. */
	private static final long STARTED_AT = CLOCK + 1300;

	private static RolloutTime learned(long asked, long now) {
		return new RolloutTime(asked, now);
	}

	/** Guards against steps of the share that nodes take at different times. */
	@Test
	void nodesThatLearnOfTheOrderAtDifferentTimesCountAlike() {
		RolloutTime soon = learned(0, 1010);
		RolloutTime late = learned(900, 2500);
		soon.started(2510, CLOCK + 2510, STARTED_AT);
		late.started(2500, CLOCK + 2500, STARTED_AT);
		assertThat(soon.elapsed(10_000)).isEqualTo(8700);
		assertThat(late.elapsed(10_000)).isEqualTo(8700);
	}

	/** Guards against replicas of which each node hears in another order. */
	@Test
	void earliestStartCountsInWhicheverOrderTheyAreHeardOf() {
		RolloutTime time = learned(0, 1010);
		time.started(2510, CLOCK + 2510, STARTED_AT + 400);
		time.started(2520, CLOCK + 2520, STARTED_AT);
		time.started(2530, CLOCK + 2530, STARTED_AT + 200);
		assertThat(time.elapsed(10_000)).isEqualTo(8700);
	}

	/** Guards against a node that starts in a roll-out and takes it for a new one. */
	@Test
	void nodeThatStartsLateCountsFromTheFirstReplicasStart() {
		RolloutTime time = learned(-10_000, 9000);
		time.started(9000, CLOCK + 9000, STARTED_AT);
		assertThat(time.elapsed(10_000)).isEqualTo(8700);
	}

	/** Guards against a time of day that jumped. */
	@Test
	void startThatCannotBeByThisNodesTimeOfDayIsNotTaken() {
		RolloutTime time = learned(0, 1010);
		time.started(2510, CLOCK + 2510 + 60_000, STARTED_AT);
		time.started(2510, CLOCK + 2510 - 60_000, STARTED_AT);
		assertThat(time.elapsed(10_000)).isEqualTo(8990);
	}

	/** Guards against a time of day that jumps after it was read. */
	@Test
	void timeOfDayIsReadOnce() {
		RolloutTime time = learned(0, 1010);
		time.started(2510, CLOCK + 2510, STARTED_AT + 100);
		time.started(4000, CLOCK + 4000 - 1000, STARTED_AT);
		assertThat(time.elapsed(10_000)).isEqualTo(8700);
	}

	/** Guards against a release that was listed long before its roll-out. */
	@Test
	void replicaThatStartedBeforeTheOrderDoesNotCount() {
		RolloutTime time = learned(900, 1010);
		time.started(1010, CLOCK + 1010, CLOCK - 50_000);
		time.started(2510, CLOCK + 2510, STARTED_AT);
		time.started(2510, CLOCK + 2510, CLOCK - 50_000);
		assertThat(time.elapsed(10_000)).isEqualTo(8700);
	}

	/** Guards against a wrong time of day at a node that starts late. */
	@Test
	void othersThatAreFarAheadShowThatTheTimeOfDayIsWrong() {
		RolloutTime time = learned(-10_000, 9000);
		time.started(9000, CLOCK + 9000 - 6000, STARTED_AT);
		assertThat(time.elapsed(9000)).isEqualTo(1700);
		time.told(9000, 7600);
		assertThat(time.elapsed(9000)).isEqualTo(7600);
	}

	@Test
	void withoutAnyStartTheOthersWordCounts() {
		RolloutTime time = learned(-10_000, 9000);
		time.started(9000, CLOCK + 9000, 0);
		time.told(9000, 7600);
		time.told(9500, 4000);
		assertThat(time.elapsed(10_000)).isEqualTo(8600);
	}

}
