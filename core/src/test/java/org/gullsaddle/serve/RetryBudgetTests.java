package org.gullsaddle.serve;

import java.util.function.Function;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

import org.gullsaddle.fleet.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class RetryBudgetTests {

	private static final ServiceName ENGINES = new ServiceName("engines");

	private static final ServiceName DESK = new ServiceName("desk");

	@Nested
	class OfOneNode {

		private final ServiceRetryBudgets budgets = new ServiceRetryBudgets(
				RetryLimits.within(0.9, 10_000).withSlack(102));

		private int spendAll(long now, ServiceName service) {
			return spendAll(now, service, 0);
		}

		private int spendAll(long now, ServiceName service, int nodes) {
			int spent = 0;
			while (this.budgets.trySpend(now, service, nodes)) {
				spent++;
			}
			return spent;
		}

		@Test
		void holdsNothingBeforeTheFirstRequest() {
			assertThat(spendAll(0, ENGINES)).isZero();
		}

		@Test
		void allowsTheFirstRequestARetry() {
			this.budgets.earn(0, ENGINES);
			assertThat(spendAll(0, ENGINES)).isOne();
		}

		/**
		 * A retry that is denied to the only request that fails in a long time.
		 */
		@Test
		void holdsAShareOfTheSlackForFewRequests() {
			assertThat(spendAll(0, ENGINES, 31)).isZero();
			assertThat(spendAll(10_000, ENGINES, 31)).isOne();
			assertThat(spendAll(19_999, ENGINES, 31)).isZero();
			assertThat(spendAll(20_000, ENGINES, 4)).isEqualTo(12);
			assertThat(spendAll(30_000, ENGINES, 340)).isZero();
			assertThat(spendAll(30_000, ENGINES, 0)).isZero();
		}

		@Test
		void holdsWhatRequestsEarned() {
			for (int i = 0; i < 100; i++) {
				this.budgets.earn(i, ENGINES);
			}
			assertThat(this.budgets.savedRetries(100, ENGINES)).isEqualTo(72);
			assertThat(spendAll(100, ENGINES)).isEqualTo(72);
		}

		@Test
		void holdsNothingIfNoRetriesAreAllowed() {
			RetryBudget budget = new RetryBudget(RetryLimits.within(0, 10_000));
			for (int i = 0; i < 100; i++) {
				budget.earn(i);
			}
			assertThat(budget.trySpend(100, 1)).isFalse();
		}

		@Test
		void losesARetryThatIsNotSpentInTime() {
			this.budgets.earn(0, ENGINES);
			assertThat(this.budgets.savedRetries(2499, ENGINES)).isOne();
			assertThat(this.budgets.trySpend(2500, ENGINES, 0)).isFalse();
		}

		@Test
		void keepsThePartOfARetryThatIsEarned() {
			this.budgets.earn(0, ENGINES);
			this.budgets.earn(60_000, ENGINES);
			assertThat(spendAll(60_000, ENGINES)).isZero();
			this.budgets.earn(120_000, ENGINES);
			assertThat(spendAll(120_000, ENGINES)).isOne();
		}

		/**
		 * Retries at a failing service that the requests for another one have earned.
		 */
		@Test
		void spendsNothingThatAnotherServiceEarned() {
			for (int i = 0; i < 100; i++) {
				this.budgets.earn(0, DESK);
			}
			assertThat(spendAll(0, ENGINES)).isZero();
			assertThat(spendAll(0, DESK)).isEqualTo(72);
		}

		@Test
		void limitsMustBePossible() {
			assertThatIllegalArgumentException().isThrownBy(() -> RetryLimits.within(-0.1, 10_000));
			assertThatIllegalArgumentException().isThrownBy(() -> RetryLimits.within(0.9, 0));
			assertThatIllegalArgumentException().isThrownBy(() -> RetryLimits.within(0.9, 1).withSlack(-1));
			assertThatIllegalArgumentException().isThrownBy(() -> RetryLimits.within(0.9, 1).startingWith(-1));
		}

	}

	/**
	 * Retries of many nodes that keep to their own budgets and exceed what is allowed in
	 * all.
	 */
	@Nested
	class OfManyNodes {

		private static final int SECONDS = 45;

		@ParameterizedTest
		@EnumSource(Day.class)
		void keepToTheRatioInEveryWindow(Day day) {
			for (long seed = 1; seed <= 3; seed++) {
				for (int nodes : new int[] { 4, 31, 340 }) {
					RetryBudgetModel model = new RetryBudgetModel(nodes, seed);
					RetryBudgetModel.Service service = day.service.apply(model);
					model.play(SECONDS);
					assertThat(service.mostBeyondRatio()).as("%s nodes, seed %s", nodes, seed)
						.isLessThanOrEqualTo(RetryBudgetModel.SLACK);
				}
			}
		}

		/**
		 * Retries that lapse before the few requests of a node can use them.
		 */
		@ParameterizedTest
		@CsvSource({ "4, 0.4", "31, 0.4", "340, 0.3" })
		void leaveRoomOnACalmDay(int nodes, double least) {
			RetryBudgetModel model = new RetryBudgetModel(nodes, 1);
			RetryBudgetModel.Service service = model.service("engines", (at) -> 78, (at) -> 0, 0.45);
			model.play(SECONDS);
			assertThat(service.retriesPerRequest()).isGreaterThan(least);
		}

	}

	/**
	 * What happens to a service whose attempts fail for some time.
	 */
	private enum Day {

		QUIET_BEFORE((model) -> engines(model, 1, 0)),

		ANSWERS_POOR_BEFORE((model) -> engines(model, 0.8, 0.5)),

		OTHER_SERVICE_RISES((model) -> {
			model.service("desk", (at) -> (at > 10 && at < 25) ? 160 : 35, (at) -> 0, 0);
			return engines(model, 0.8, 0);
		}),

		OTHER_SERVICE_IS_LARGER((model) -> {
			model.service("engines", (at) -> 78, (at) -> 0, 0);
			return model.service("desk", (at) -> 35, (at) -> isFailing(at) ? 0.9 : 0, 0);
		}),

		NODES_START_ANEW((model) -> {
			model.restart((millis) -> (millis >= 15_000 && millis < 25_000) ? 1 : 0);
			return engines(model, 0.8, 0);
		}),

		REQUESTS_MOVE((model) -> {
			model.moveRequests(18_000);
			return engines(model, 1, 0);
		}),

		REQUESTS_FALL(
				(model) -> model.service("engines", (at) -> (at < 15) ? 78 : 30, (at) -> isFailing(at) ? 1 : 0, 0)),

		REQUESTS_FALL_TO_A_FIFTH(
				(model) -> model.service("engines", (at) -> (at < 17) ? 78 : 15.6, (at) -> isFailing(at) ? 1 : 0, 0)),

		BOTH_SERVICES_FAIL((model) -> {
			model.service("desk", (at) -> 35, (at) -> isFailing(at) ? 1 : 0, 0);
			return engines(model, 1, 0.5);
		}),

		BURST_AND_LULL((model) -> model.service("engines", (at) -> (at < 14) ? 78 : (at < 17) ? 234 : 31,
				(at) -> isFailing(at) ? 1 : 0, 0)),

		TWO_BURSTS((model) -> model.service("engines",
				(at) -> (at > 14 && at < 16.5 || at > 21.5 && at < 24) ? 234 : 78, (at) -> isFailing(at) ? 1 : 0, 0));

		private final Function<RetryBudgetModel, RetryBudgetModel.Service> service;

		Day(Function<RetryBudgetModel, RetryBudgetModel.Service> service) {
			this.service = service;
		}

		private static RetryBudgetModel.Service engines(RetryBudgetModel model, double failing, double poor) {
			return model.service("engines", (at) -> 78, (at) -> isFailing(at) ? failing : 0, poor);
		}

		private static boolean isFailing(double at) {
			return at > 15 && at < 30;
		}

	}

}
