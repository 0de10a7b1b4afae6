package org.gullsaddle.serve;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.gullsaddle.fleet.Route;
import org.gullsaddle.fleet.RouteKind;
import org.gullsaddle.fleet.ServiceName;
import org.gullsaddle.fleet.ServiceShare;

import static org.assertj.core.api.Assertions.assertThat;

class ModelSelectorTests {

	private static final Route ROUTE = Route.named("ask")
		.at("shop.example", "/ask/")
		.kind(RouteKind.STREAM, true)
		.to(List.of(new ServiceShare(new ServiceName("engines"), 1)))
		.models(List.of("small", "middle", "large"))
		.within(15_000, 4000, 1000)
		.maxAttempts(3)
		.build();

	private final ModelSelector chooser = new ModelSelector();

	@Test
	void smallestIsAskedFirstAndTheLargestWhereItDoubts() {
		assertThat(this.chooser.firstModel(ROUTE)).isEqualTo("small");
		assertThat(this.chooser.findLargerModel(ROUTE, "small", OptionalInt.of(10), false)).contains("large");
		assertThat(this.chooser.findLargerModel(ROUTE, "small", OptionalInt.of(90), false)).isEmpty();
		assertThat(this.chooser.findLargerModel(ROUTE, "small", OptionalInt.empty(), false)).isEmpty();
		assertThat(this.chooser.findLargerModel(ROUTE, "large", OptionalInt.of(1), false)).isEmpty();
	}

	/**
	 * Twice the usual number of callers come. The largest model's answers come late, one
	 * after another; asked as often as before, it would make all answers late. Answers
	 * that are surely wrong are still replaced, and when the load is over doubt counts as
	 * before.
	 */
	@Test
	void lateAnswersOfTheLargestMakeItBeAskedLessUntilTheyAreInTimeAgain() {
		double before = this.chooser.sufficientConfidence();
		for (int i = 0; i < 40; i++) {
			this.chooser.recordAnswer(ROUTE, "large", 3900, 100);
		}
		assertThat(this.chooser.findLargerModel(ROUTE, "small", OptionalInt.of(30), false)).isEmpty();
		assertThat(this.chooser.findLargerModel(ROUTE, "small", OptionalInt.of(0), false)).contains("large");
		for (int i = 0; i < 100; i++) {
			this.chooser.recordAnswer(ROUTE, "large", 500, 100);
		}
		assertThat(this.chooser.sufficientConfidence()).isGreaterThanOrEqualTo(before);
	}

	@Test
	void longPauseBetweenEventsCountsAsLate() {
		double before = this.chooser.sufficientConfidence();
		this.chooser.recordAnswer(ROUTE, "large", 100, 1001);
		assertThat(this.chooser.sufficientConfidence()).isLessThan(before);
	}

	private boolean asks(int confidence, DelayEstimate delay) {
		return this.chooser.isWorthAsking(ROUTE, confidence, delay, 15_000);
	}

	@Test
	void largestIsNotAskedWhereItWouldBeginTooLate() {
		assertThat(asks(10, new DelayEstimate(3000, 300))).isTrue();
		assertThat(asks(10, new DelayEstimate(3900, 300))).isFalse();
		assertThat(this.chooser.isWorthAsking(ROUTE, 10, new DelayEstimate(3000, 300), 3000)).isFalse();
	}

	@Nested
	class WhileTheLargestIsInTime {

		private static final DelayEstimate MAYBE_LATE = new DelayEstimate(3900, 600);

		@BeforeEach
		void answersInTime() {
			for (int i = 0; i < 40; i++) {
				ModelSelectorTests.this.chooser.recordAnswer(ROUTE, "large", 500, 100);
			}
		}

		/** Guards against answers that are surely wrong though engines have room. */
		@Test
		void whatIsSurelyWrongIsReplacedByWhatMayBeLate() {
			assertThat(asks(10, MAYBE_LATE)).isTrue();
			assertThat(asks(10, new DelayEstimate(8000, 600))).isFalse();
		}

		@Test
		void whatIsPerhapsGoodIsKept() {
			assertThat(asks(48, MAYBE_LATE)).isFalse();
			assertThat(asks(48, new DelayEstimate(3000, 300))).isTrue();
		}

		/** Guards against large answers that make each other late under load. */
		@Test
		void lateAnswersMakeItBeAskedOnlyWhereItIsLikelyInTime() {
			for (int i = 0; i < 3; i++) {
				ModelSelectorTests.this.chooser.recordAnswer(ROUTE, "large", 4500, 100);
			}
			assertThat(asks(10, MAYBE_LATE)).isFalse();
			assertThat(asks(10, new DelayEstimate(3000, 300))).isTrue();
		}

	}

	@Nested
	class BetweenTheSmallestAndTheLargest {

		private Optional<String> after(int confidence) {
			return ModelSelectorTests.this.chooser.findLargerModel(ROUTE, "small", OptionalInt.of(confidence), false);
		}

		/**
		 * On a heavy day two in five answers are doubted, and the largest model, ten
		 * times as slow, is behind with all of them. Half of the doubted ones are only
		 * just too hard for the smallest.
		 */
		@Test
		void answerThatIsNearlyTrustedGoesToTheMiddleModel() {
			assertThat(after(48)).contains("middle");
			assertThat(after(20)).contains("large");
		}

		@Test
		void middleModelIsAskedWhereItsOwnOpinionsWereHighEnough() {
			for (int i = 0; i < 60; i++) {
				ModelSelectorTests.this.chooser.recordComparison("small", 30, "middle", 60);
			}
			assertThat(after(25)).contains("middle");
			for (int i = 0; i < 200; i++) {
				ModelSelectorTests.this.chooser.recordComparison("small", 45, "middle", 46);
			}
			assertThat(after(48)).contains("large");
		}

		@Test
		void opinionsAtTheEndsOfTheScaleTeachNothing() {
			for (int i = 0; i < 60; i++) {
				ModelSelectorTests.this.chooser.recordComparison("small", 0, "middle", 100);
			}
			assertThat(after(20)).contains("large");
		}

		@Test
		void lastAttemptIsTheLargestModels() {
			assertThat(ModelSelectorTests.this.chooser.findLargerModel(ROUTE, "small", OptionalInt.of(48), true))
				.contains("large");
		}

		@Test
		void middleModelsOwnDoubtGoesToTheLargest() {
			assertThat(ModelSelectorTests.this.chooser.findLargerModel(ROUTE, "middle", OptionalInt.of(30), true))
				.contains("large");
		}

	}

}
