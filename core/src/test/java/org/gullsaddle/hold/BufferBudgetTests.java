package org.gullsaddle.hold;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BufferBudgetTests {

	private static final long LIMIT = 1_000_000;

	private static final long WINDOW_MILLIS = 1000;

	private static final long STEP_MILLIS = 100;

	private final BufferBudget budget = new BufferBudget(LIMIT);

	private BufferAccount accountWith(String id, long bytes, long now) {
		BufferAccount account = this.budget.openAccount(id, WINDOW_MILLIS);
		account.recordBuffered(bytes, true, now);
		return account;
	}

	private Optional<String> aborted(long now) {
		return this.budget.findToAbort(now).map(BufferAccount::id);
	}

	@Nested
	class WithManySlowAndFastReaders {

		private static final int CALLERS = 40;

		private static final long ANSWER_PART = 10_000;

		private static final long SLOW_PART = 1000 * STEP_MILLIS / 1000;

		private final List<String> abortedIds = new ArrayList<>();

		private long maxBytes;

		private void step(List<BufferAccount> accounts, long now) {
			for (BufferAccount each : List.copyOf(accounts)) {
				long buffered = each.bufferedBytes() + (each.canRead() ? ANSWER_PART : 0);
				long transferred = each.id().startsWith("slow") ? Math.min(SLOW_PART, buffered) : buffered;
				each.recordBuffered(buffered, true, now);
				this.maxBytes = Math.max(this.maxBytes, BufferBudgetTests.this.budget.bufferedBytes());
				each.recordBuffered(buffered - transferred, true, now);
				each.recordTransferred(transferred, now);
			}
			BufferBudgetTests.this.budget.findToAbort(now).ifPresent((each) -> {
				this.abortedIds.add(each.id());
				accounts.remove(each);
				each.close();
			});
		}

		/**
		 * Guards against a node that runs out of memory, or aborts fast callers instead
		 * of slow ones.
		 */
		@Test
		void onlySlowReadersAreAbortedAndMemoryStaysBounded() {
			List<BufferAccount> accounts = new ArrayList<>();
			for (int i = 0; i < CALLERS; i++) {
				accounts.add(BufferBudgetTests.this.budget.openAccount("slow-" + i, WINDOW_MILLIS));
				accounts.add(BufferBudgetTests.this.budget.openAccount("quick-" + i, WINDOW_MILLIS));
			}
			for (long now = 0; now < 60_000; now += STEP_MILLIS) {
				step(accounts, now);
			}
			assertThat(this.abortedIds).isNotEmpty().allMatch((id) -> id.startsWith("slow"));
			assertThat(this.maxBytes).isLessThan(LIMIT + LIMIT / 4);
			assertThat(accounts).filteredOn((each) -> each.id().startsWith("quick")).hasSize(CALLERS);
			assertThat(accounts).filteredOn((each) -> each.id().startsWith("slow")).isNotEmpty();
		}

	}

	@Nested
	class WithAnEndlessBody {

		/**
		 * Guards against a caller that trickles an endless body and in the end displaces
		 * bodies that are sent at full speed.
		 */
		@Test
		void isAbortedBeforeFastBodies() {
			BufferAccount endless = accountWith("endless", 300_000, 0);
			BufferAccount quick = null;
			for (long now = 0; now <= 4000; now += STEP_MILLIS) {
				endless.recordBuffered(endless.bufferedBytes() + 100, true, now);
				endless.recordTransferred(100, now);
				if (now == 2000) {
					quick = accountWith("quick", 500_000, now);
				}
				if (quick != null) {
					quick.recordBuffered(quick.bufferedBytes() + 30_000, true, now);
					quick.recordTransferred(30_000, now);
				}
			}
			assertThat(BufferBudgetTests.this.budget.isExhausted()).isTrue();
			assertThat(aborted(4000)).contains("endless");
		}

		@Test
		void completeBodyIsNotAborted() {
			BufferAccount complete = accountWith("whole", LIMIT, 0);
			assertThat(aborted(5000)).contains("whole");
			complete.recordBuffered(LIMIT, false, 5000);
			assertThat(aborted(5000)).isEmpty();
		}

	}

	@Nested
	class WithAnExhaustedBudget {

		private void transfer(BufferAccount account, long bytes) {
			account.recordTransferred(bytes, 2000);
		}

		@Test
		void slowestLargeAccountIsAbortedFirst() {
			transfer(accountWith("large and quick", 500_000, 0), 400_000);
			transfer(accountWith("large and slow", 400_000, 0), 1000);
			transfer(accountWith("little and slow", 100_000, 0), 10);
			assertThat(aborted(2000)).contains("large and slow");
		}

		@Test
		void largestStalledAccountIsAbortedFirst() {
			accountWith("a", 300_000, 0);
			accountWith("b", 400_000, 0);
			accountWith("c", 300_000, 0);
			assertThat(aborted(2000)).contains("b");
		}

		/**
		 * Guards against aborting fast callers for a slow one: the last arrival is what
		 * exhausts the budget, and its transfer rate is not known yet.
		 */
		@Test
		void newestArrivalIsNotAborted() {
			accountWith("slow", 450_000, 0);
			accountWith("next", 600_000, 1900);
			assertThat(aborted(2000)).contains("slow");
		}

		@Test
		void arrivalsAloneAreAbortedOnlyIfTheBudgetIsOverdrawn() {
			accountWith("first", 600_000, 1900);
			BufferAccount second = accountWith("second", 500_000, 1900);
			assertThat(aborted(2000)).isEmpty();
			second.recordBuffered(800_000, true, 2000);
			assertThat(aborted(2000)).contains("second");
		}

		@Test
		void smallAccountsCanStillRead() {
			BufferAccount large = accountWith("large", 900_000, 0);
			BufferAccount small = accountWith("little", 100_000, 0);
			assertThat(large.canRead()).isFalse();
			assertThat(small.canRead()).isTrue();
			assertThat(BufferBudgetTests.this.budget.openAccount("new", WINDOW_MILLIS).canRead()).isTrue();
		}

		@Test
		void readingResumesOnlyOnceThereIsCapacityAgain() {
			accountWith("other", 860_000, 0);
			BufferAccount account = accountWith("one", 240_000, 0);
			account.recordBuffered(100_000, true, 0);
			assertThat(BufferBudgetTests.this.budget.isExhausted()).isTrue();
			account.recordBuffered(10_000, true, 0);
			assertThat(BufferBudgetTests.this.budget.isExhausted()).isFalse();
			account.recordBuffered(100_000, true, 0);
			assertThat(BufferBudgetTests.this.budget.isExhausted()).isFalse();
		}

	}

	@Nested
	class WithCapacity {

		@Test
		void noAccountIsAborted() {
			accountWith("slow", LIMIT - 1, 0);
			assertThat(aborted(100_000)).isEmpty();
		}

		@Test
		void oneConnectionGetsOnlyItsShare() {
			assertThat(accountWith("one", LIMIT / 4, 0).canRead()).isFalse();
			assertThat(accountWith("other", LIMIT / 4 - 1, 0).canRead()).isTrue();
		}

		@Test
		void closingReleasesBytesOnce() {
			BufferAccount account = accountWith("one", 300, 0);
			account.close();
			account.close();
			account.recordBuffered(500, true, 0);
			assertThat(BufferBudgetTests.this.budget.bufferedBytes()).isZero();
		}

		@Test
		void budgetIsAQuarterOfTheProcessMemory() {
			assertThat(BufferBudget.ofMemory(4000).limitBytes()).isEqualTo(1000);
		}

	}

}
