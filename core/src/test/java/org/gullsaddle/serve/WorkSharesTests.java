package org.gullsaddle.serve;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.gullsaddle.base.TeamId;

import static org.assertj.core.api.Assertions.assertThat;

class WorkSharesTests {

	private static final TeamId LARGE = new TeamId("large");

	private static final TeamId SMALL = new TeamId("small");

	private static final TeamId THIRD = new TeamId("third");

	private static final TeamId FOURTH = new TeamId("fourth");

	private static final List<TeamId> TEAMS = List.of(LARGE, SMALL, THIRD, FOURTH);

	/** The work that engines complete in 10 ms. */
	private static final double COMPLETED_WORK = 100;

	private final WorkShares shares = new WorkShares();

	private final Map<TeamId, Double> dueWork = new HashMap<>();

	private final Deque<Double> queue = new ArrayDeque<>();

	private double spareCapacity;

	/** The work that each team requested, and how much of it was within its share. */
	private final Map<TeamId, Double> requestedWork = new HashMap<>();

	private final Map<TeamId, Double> workWithinShare = new HashMap<>();

	/**
	 * Makes teams request parts of the engines' capacity, in requests of equal work.
	 */
	private void load(long from, long until, Map<TeamId, Double> parts, double work) {
		this.requestedWork.clear();
		this.workWithinShare.clear();
		for (long now = from; now < until; now += 10) {
			for (TeamId team : TEAMS) {
				this.dueWork.merge(team, parts.getOrDefault(team, 0.0) * COMPLETED_WORK, Double::sum);
				while (this.dueWork.get(team) >= work) {
					this.dueWork.merge(team, -work, Double::sum);
					send(now, team, 0, work);
				}
			}
			complete(now);
		}
	}

	private void send(long now, TeamId team, int rank, double work) {
		this.queue.add(work);
		boolean over = this.shares.recordSent(now, team, rank, work);
		this.requestedWork.merge(team, work, Double::sum);
		this.workWithinShare.merge(team, over ? 0 : work, Double::sum);
	}

	private void complete(long now) {
		this.spareCapacity = Math.min(this.spareCapacity + COMPLETED_WORK, 50 * COMPLETED_WORK);
		while (!this.queue.isEmpty() && this.spareCapacity >= this.queue.peek()) {
			this.spareCapacity -= this.queue.peek();
			this.shares.recordEnded(now, this.queue.poll());
		}
	}

	private double ratioWithinShare(TeamId team) {
		return this.workWithinShare.get(team) / this.requestedWork.get(team);
	}

	private static Map<TeamId, Double> usual() {
		return new HashMap<>(Map.of(LARGE, 0.4, SMALL, 0.1, THIRD, 0.2, FOURTH, 0.2));
	}

	/** Guards against a large team that waits although there is capacity for all. */
	@Test
	void noTeamExceedsItsShareWhileThereIsCapacityForAll() {
		load(0, 20_000, usual(), 40);
		assertThat(TEAMS).allMatch((team) -> ratioWithinShare(team) == 1);
	}

	@Test
	void nodeThatHasJustStartedDemotesNobody() {
		for (int i = 0; i < 50; i++) {
			assertThat(this.shares.recordSent(i, LARGE, 0, 40)).isFalse();
		}
	}

	/**
	 * Load: 0.9 by requests, but one team's requests have ten times the work of
	 * another's.
	 */
	@Test
	void sharesCountWorkNotRequests() {
		load(0, 20_000, usual(), 40);
		int large = 0;
		int small = 0;
		for (long now = 20_000; now < 26_000; now += 10) {
			large += this.shares.recordSent(now, LARGE, 0, 150) ? 1 : 0;
			small += this.shares.recordSent(now, SMALL, 0, 15) ? 1 : 0;
			this.shares.recordEnded(now, COMPLETED_WORK);
		}
		assertThat(large).isPositive();
		assertThat(small).isZero();
	}

	/**
	 * Load: 0.9 in three ranks of one request a second, then another team at twice the
	 * load of the one in its rank. Guards against shares that are only enforced on a busy
	 * node.
	 */
	@Test
	void sharesHoldWhereEachRankHasFewRequests() {
		int over = 0;
		for (long now = 0; now < 31_000; now += 10) {
			if (now % 1000 == 0) {
				send(now, LARGE, 0, 3000);
				assertThat(this.shares.recordSent(now, SMALL, 1, 3000)).isFalse();
				this.queue.add(3000.0);
				send(now, FOURTH, 2, 3000);
			}
			if (now >= 20_000 && now % 500 == 0) {
				over += this.shares.recordSent(now, THIRD, 1, 3000) ? 1 : 0;
				this.queue.add(3000.0);
			}
			complete(now);
		}
		assertThat(over).isPositive();
	}

	/** Guards against shares that are taken from the capacity of a more urgent rank. */
	@Test
	void moreUrgentRankHasPrecedence() {
		load(0, 20_000, usual(), 40);
		for (long now = 20_000; now < 26_000; now += 10) {
			send(now, LARGE, 0, 80);
			send(now, SMALL, 1, 40);
			send(now, THIRD, 1, 40);
			complete(now);
		}
		assertThat(this.shares.isOverShare(26_000, LARGE, 0)).isFalse();
		assertThat(this.shares.isOverShare(26_000, THIRD, 1) || this.shares.isOverShare(26_000, SMALL, 1)).isTrue();
	}

	/**
	 * Load: 0.9 of the capacity, then one team at six times its usual work for 11 s.
	 */
	@Nested
	class WhenOneTeamAsksForSixTimesItsUsual {

		private void burst(double work) {
			load(0, 20_000, usual(), work);
			Map<TeamId, Double> parts = usual();
			parts.put(THIRD, 1.2);
			load(20_000, 31_000, parts, work);
		}

		/** Guards against callers that wait behind another team's burst. */
		@Test
		void teamsThatAskForLittleGetAllTheyAskFor() {
			burst(40);
			assertThat(ratioWithinShare(SMALL)).isEqualTo(1);
			assertThat(ratioWithinShare(FOURTH)).isEqualTo(1);
		}

		/** Guards against a burst that takes more than other teams leave. */
		@Test
		void capacityTheyLeaveIsSharedByTheOthers() {
			burst(40);
			double capacity = COMPLETED_WORK * 11_000 / 10;
			assertThat(WorkSharesTests.this.workWithinShare.get(THIRD) / capacity).isBetween(0.25, 0.5);
			assertThat(WorkSharesTests.this.workWithinShare.get(LARGE) / capacity).isBetween(0.25, 0.41);
		}

		@Test
		void teamExceedsItsShareOnlyDuringTheBurst() {
			burst(40);
			assertThat(WorkSharesTests.this.shares.isOverShare(31_000, SMALL, 0)).isFalse();
			load(31_000, 45_000, usual(), 40);
			assertThat(TEAMS).noneMatch((team) -> WorkSharesTests.this.shares.isOverShare(45_000, team, 0));
		}

		/** Guards against a team that waits because its prompts are long. */
		@Test
		void largeRequestsOfATeamWithinItsShareAreNotDemoted() {
			burst(40);
			for (int i = 0; i < 100; i++) {
				send(31_000, THIRD, 0, 40);
			}
			assertThat(WorkSharesTests.this.shares.recordSent(31_000, SMALL, 0, 4000)).isFalse();
		}

	}

}
