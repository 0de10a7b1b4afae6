package org.gullsaddle.hold;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BufferBudgetTests {

	private static final long LIMIT = 1_000_000;

	private static final long PACE_MILLIS = 1000;

	private static final long STEP_MILLIS = 100;

	private final BufferBudget budget = new BufferBudget(LIMIT);

	private BufferAccount holding(String id, long bytes, long now) {
		BufferAccount holder = this.budget.openAccount(id, PACE_MILLIS);
		holder.recordBuffered(bytes, true, now);
		return holder;
	}

	private Optional<String> givenUp(long now) {
		return this.budget.findToAbort(now).map(BufferAccount::id);
	}

	@Nested
	class WithManyReadersOfAKilobyteASecondBesideQuickOnes {

		private static final int CALLERS = 40;

		private static final long ANSWER_PART = 10_000;

		private static final long SLOW_PART = 1000 * STEP_MILLIS / 1000;

		private final List<String> left = new ArrayList<>();

		private long most;

		private void step(List<BufferAccount> holders, long now) {
			for (BufferAccount each : List.copyOf(holders)) {
				long held = each.bufferedBytes() + (each.canRead() ? ANSWER_PART : 0);
				long taken = each.id().startsWith("slow") ? Math.min(SLOW_PART, held) : held;
				each.recordBuffered(held, true, now);
				this.most = Math.max(this.most, BufferBudgetTests.this.budget.bufferedBytes());
				each.recordBuffered(held - taken, true, now);
				each.recordTransferred(taken, now);
			}
			BufferBudgetTests.this.budget.findToAbort(now).ifPresent((each) -> {
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
			List<BufferAccount> holders = new ArrayList<>();
			for (int i = 0; i < CALLERS; i++) {
				holders.add(BufferBudgetTests.this.budget.openAccount("slow-" + i, PACE_MILLIS));
				holders.add(BufferBudgetTests.this.budget.openAccount("quick-" + i, PACE_MILLIS));
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
			BufferAccount endless = holding("endless", 300_000, 0);
			BufferAccount quick = null;
			for (long now = 0; now <= 4000; now += STEP_MILLIS) {
				endless.recordBuffered(endless.bufferedBytes() + 100, true, now);
				endless.recordTransferred(100, now);
				if (now == 2000) {
					quick = holding("quick", 500_000, now);
				}
				if (quick != null) {
					quick.recordBuffered(quick.bufferedBytes() + 30_000, true, now);
					quick.recordTransferred(30_000, now);
				}
			}
			assertThat(BufferBudgetTests.this.budget.isExhausted()).isTrue();
			assertThat(givenUp(4000)).contains("endless");
		}

		@Test
		void oneThatIsWholeIsNotGivenUp() {
			BufferAccount whole = holding("whole", LIMIT, 0);
			assertThat(givenUp(5000)).contains("whole");
			whole.recordBuffered(LIMIT, false, 5000);
			assertThat(givenUp(5000)).isEmpty();
		}

	}

	@Nested
	class WithABudgetThatIsSpent {

		private void move(BufferAccount holder, long bytes) {
			holder.recordTransferred(bytes, 2000);
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
			BufferAccount second = holding("second", 500_000, 1900);
			assertThat(givenUp(2000)).isEmpty();
			second.recordBuffered(800_000, true, 2000);
			assertThat(givenUp(2000)).contains("second");
		}

		@Test
		void whoHoldsLittleIsReadOn() {
			BufferAccount large = holding("large", 900_000, 0);
			BufferAccount little = holding("little", 100_000, 0);
			assertThat(large.canRead()).isFalse();
			assertThat(little.canRead()).isTrue();
			assertThat(BufferBudgetTests.this.budget.openAccount("new", PACE_MILLIS).canRead()).isTrue();
		}

		@Test
		void readingGoesOnOnlyOnceThereIsRoomAgain() {
			holding("other", 860_000, 0);
			BufferAccount holder = holding("one", 240_000, 0);
			holder.recordBuffered(100_000, true, 0);
			assertThat(BufferBudgetTests.this.budget.isExhausted()).isTrue();
			holder.recordBuffered(10_000, true, 0);
			assertThat(BufferBudgetTests.this.budget.isExhausted()).isFalse();
			holder.recordBuffered(100_000, true, 0);
			assertThat(BufferBudgetTests.this.budget.isExhausted()).isFalse();
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
			assertThat(holding("one", LIMIT / 4, 0).canRead()).isFalse();
			assertThat(holding("other", LIMIT / 4 - 1, 0).canRead()).isTrue();
		}

		@Test
		void whatIsClosedIsGivenBackOnce() {
			BufferAccount holder = holding("one", 300, 0);
			holder.close();
			holder.close();
			holder.recordBuffered(500, true, 0);
			assertThat(BufferBudgetTests.this.budget.bufferedBytes()).isZero();
		}

		@Test
		void itIsAPartOfTheProcessesMemory() {
			assertThat(BufferBudget.ofMemory(4000).limitBytes()).isEqualTo(1000);
		}

	}

}
