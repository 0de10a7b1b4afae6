package org.gullsaddle.hold;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HoldingBudgetTests {

	private static final long LIMIT = 1_000_000;

	private static final long PACE_MILLIS = 1000;

	private static final long STEP_MILLIS = 100;

	private final HoldingBudget budget = new HoldingBudget(LIMIT);

	private Holder holding(String id, long bytes, long now) {
		Holder holder = this.budget.holder(id, PACE_MILLIS);
		holder.holds(bytes, true, now);
		return holder;
	}

	private Optional<String> givenUp(long now) {
		return this.budget.toGiveUp(now).map(Holder::id);
	}

	@Nested
	class WithManyReadersOfAKilobyteASecondBesideQuickOnes {

		private static final int CALLERS = 40;

		private static final long ANSWER_PART = 10_000;

		private static final long SLOW_PART = 1000 * STEP_MILLIS / 1000;

		private final List<String> left = new ArrayList<>();

		private long most;

		private void step(List<Holder> holders, long now) {
			for (Holder each : List.copyOf(holders)) {
				long held = each.held() + (each.mayRead() ? ANSWER_PART : 0);
				long taken = each.id().startsWith("slow") ? Math.min(SLOW_PART, held) : held;
				each.holds(held, true, now);
				this.most = Math.max(this.most, HoldingBudgetTests.this.budget.held());
				each.holds(held - taken, true, now);
				each.moved(taken, now);
			}
			HoldingBudgetTests.this.budget.toGiveUp(now).ifPresent((each) -> {
				this.left.add(each.id());
				holders.remove(each);
				each.close();
			});
		}

		/**
		 * Guards against a node that ends for its memory, or gives up quick callers for
		 * slow ones.
		 */
		@Test
		void onlySlowOnesAreGivenUpAndTheMemoryLasts() {
			List<Holder> holders = new ArrayList<>();
			for (int i = 0; i < CALLERS; i++) {
				holders.add(HoldingBudgetTests.this.budget.holder("slow-" + i, PACE_MILLIS));
				holders.add(HoldingBudgetTests.this.budget.holder("quick-" + i, PACE_MILLIS));
			}
			for (long now = 0; now < 60_000; now += STEP_MILLIS) {
				step(holders, now);
			}
			assertThat(this.left).isNotEmpty().allMatch((id) -> id.startsWith("slow"));
			assertThat(this.most).isLessThan(LIMIT + LIMIT / 4);
			assertThat(holders).filteredOn((each) -> each.id().startsWith("quick")).hasSize(CALLERS);
			assertThat(holders).filteredOn((each) -> each.id().startsWith("slow")).isNotEmpty();
		}

	}

	@Nested
	class WithABodyThatNeverEnds {

		/**
		 * Guards against a caller that sends on for ever, a little at a time, and in the
		 * end takes the place of bodies that are sent as fast as their callers can.
		 */
		@Test
		void itIsGivenUpForThoseThatComeQuickly() {
			Holder endless = holding("endless", 300_000, 0);
			Holder quick = null;
			for (long now = 0; now <= 4000; now += STEP_MILLIS) {
				endless.holds(endless.held() + 100, true, now);
				endless.moved(100, now);
				if (now == 2000) {
					quick = holding("quick", 500_000, now);
				}
				if (quick != null) {
					quick.holds(quick.held() + 30_000, true, now);
					quick.moved(30_000, now);
				}
			}
			assertThat(HoldingBudgetTests.this.budget.spent()).isTrue();
			assertThat(givenUp(4000)).contains("endless");
		}

		@Test
		void oneThatIsWholeIsNotGivenUp() {
			Holder whole = holding("whole", LIMIT, 0);
			assertThat(givenUp(5000)).contains("whole");
			whole.holds(LIMIT, false, 5000);
			assertThat(givenUp(5000)).isEmpty();
		}

	}

	@Nested
	class WithABudgetThatIsSpent {

		private void move(Holder holder, long bytes) {
			holder.moved(bytes, 2000);
		}

		@Test
		void theSlowestLargeHolderIsGivenUpFirst() {
			move(holding("large and quick", 500_000, 0), 400_000);
			move(holding("large and slow", 400_000, 0), 1000);
			move(holding("little and slow", 100_000, 0), 10);
			assertThat(givenUp(2000)).contains("large and slow");
		}

		@Test
		void theLargestOfThoseThatStandStillIsGivenUpFirst() {
			holding("a", 300_000, 0);
			holding("b", 400_000, 0);
			holding("c", 300_000, 0);
			assertThat(givenUp(2000)).contains("b");
		}

		/**
		 * Guards against many quick callers that pay for one slow one: what came last is
		 * what makes the budget run out, and has shown no pace yet.
		 */
		@Test
		void theNextArrivalIsNotGivenUp() {
			holding("slow", 450_000, 0);
			holding("next", 600_000, 1900);
			assertThat(givenUp(2000)).contains("slow");
		}

		@Test
		void arrivalsAloneAreGivenUpOnlyIfTheBudgetIsOverdrawn() {
			holding("first", 600_000, 1900);
			Holder second = holding("second", 500_000, 1900);
			assertThat(givenUp(2000)).isEmpty();
			second.holds(800_000, true, 2000);
			assertThat(givenUp(2000)).contains("second");
		}

		@Test
		void whoHoldsLittleIsReadOn() {
			Holder large = holding("large", 900_000, 0);
			Holder little = holding("little", 100_000, 0);
			assertThat(large.mayRead()).isFalse();
			assertThat(little.mayRead()).isTrue();
			assertThat(HoldingBudgetTests.this.budget.holder("new", PACE_MILLIS).mayRead()).isTrue();
		}

		@Test
		void readingGoesOnOnlyOnceThereIsRoomAgain() {
			holding("other", 860_000, 0);
			Holder holder = holding("one", 240_000, 0);
			holder.holds(100_000, true, 0);
			assertThat(HoldingBudgetTests.this.budget.spent()).isTrue();
			holder.holds(10_000, true, 0);
			assertThat(HoldingBudgetTests.this.budget.spent()).isFalse();
			holder.holds(100_000, true, 0);
			assertThat(HoldingBudgetTests.this.budget.spent()).isFalse();
		}

	}

	@Nested
	class WithRoom {

		@Test
		void nobodyIsGivenUp() {
			holding("slow", LIMIT - 1, 0);
			assertThat(givenUp(100_000)).isEmpty();
		}

		@Test
		void oneConnectionGetsOnlyItsPart() {
			assertThat(holding("one", LIMIT / 4, 0).mayRead()).isFalse();
			assertThat(holding("other", LIMIT / 4 - 1, 0).mayRead()).isTrue();
		}

		@Test
		void whatIsClosedIsGivenBackOnce() {
			Holder holder = holding("one", 300, 0);
			holder.close();
			holder.close();
			holder.holds(500, true, 0);
			assertThat(HoldingBudgetTests.this.budget.held()).isZero();
		}

		@Test
		void itIsAPartOfTheProcessesMemory() {
			assertThat(HoldingBudget.ofMemory(4000).limit()).isEqualTo(1000);
		}

	}

}
