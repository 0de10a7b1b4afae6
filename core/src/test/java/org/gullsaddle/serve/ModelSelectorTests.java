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

	private final ModelSelector selector = new ModelSelector();

	@Test
	void largestModelIsAskedIfTheSmallestHasLowConfidence() {
		assertThat(this.selector.firstModel(ROUTE)).isEqualTo("small");
		assertThat(this.selector.findLargerModel(ROUTE, "small", OptionalInt.of(10), false)).contains("large");
		assertThat(this.selector.findLargerModel(ROUTE, "small", OptionalInt.of(90), false)).isEmpty();
		assertThat(this.selector.findLargerModel(ROUTE, "small", OptionalInt.empty(), false)).isEmpty();
		assertThat(this.selector.findLargerModel(ROUTE, "large", OptionalInt.of(1), false)).isEmpty();
	}

	/**
	 * Twice the usual number of callers arrive, and answers of the largest model are
	 * late. Asking it as often as before would make all answers late. Answers that are
	 * surely wrong are still replaced, and after the load the threshold returns to its
	 * former level.
	 */
	@Test
	void lateAnswersOfTheLargestModelLowerTheThresholdUntilTheyAreInTimeAgain() {
		double before = this.selector.sufficientConfidence();
		for (int i = 0; i < 40; i++) {
			this.selector.recordAnswer(ROUTE, "large", 3900, 100);
		}
		assertThat(this.selector.findLargerModel(ROUTE, "small", OptionalInt.of(30), false)).isEmpty();
		assertThat(this.selector.findLargerModel(ROUTE, "small", OptionalInt.of(0), false)).contains("large");
		for (int i = 0; i < 100; i++) {
			this.selector.recordAnswer(ROUTE, "large", 500, 100);
		}
		assertThat(this.selector.sufficientConfidence()).isGreaterThanOrEqualTo(before);
	}

	@Test
	void longPauseBetweenEventsCountsAsLate() {
		double before = this.selector.sufficientConfidence();
		this.selector.recordAnswer(ROUTE, "large", 100, 1001);
		assertThat(this.selector.sufficientConfidence()).isLessThan(before);
	}

	private boolean isWorthAsking(int confidence, DelayEstimate delay) {
		return this.selector.isWorthAsking(ROUTE, confidence, delay, 15_000);
	}

	@Test
	void largestModelIsNotAskedIfItWouldStartTooLate() {
		assertThat(isWorthAsking(10, new DelayEstimate(3000, 300))).isTrue();
		assertThat(isWorthAsking(10, new DelayEstimate(3900, 300))).isFalse();
		assertThat(this.selector.isWorthAsking(ROUTE, 10, new DelayEstimate(3000, 300), 3000)).isFalse();
	}

	@Nested
	class WhileTheLargestModelIsInTime {

		private static final DelayEstimate POSSIBLY_LATE = new DelayEstimate(3900, 600);

		@BeforeEach
		void recordAnswersInTime() {
			for (int i = 0; i < 40; i++) {
				ModelSelectorTests.this.selector.recordAnswer(ROUTE, "large", 500, 100);
			}
		}

		/**
		 * Guards against keeping answers that are surely wrong although engines have
		 * capacity.
		 */
		@Test
		void wrongAnswerIsReplacedEvenIfTheNewOneMayBeLate() {
			assertThat(isWorthAsking(10, POSSIBLY_LATE)).isTrue();
			assertThat(isWorthAsking(10, new DelayEstimate(8000, 600))).isFalse();
		}

		@Test
		void possiblyGoodAnswerIsKept() {
			assertThat(isWorthAsking(48, POSSIBLY_LATE)).isFalse();
			assertThat(isWorthAsking(48, new DelayEstimate(3000, 300))).isTrue();
		}

		/** Guards against large answers that make each other late under load. */
		@Test
		void lateAnswersRaiseTheRequiredProbability() {
			for (int i = 0; i < 3; i++) {
				ModelSelectorTests.this.selector.recordAnswer(ROUTE, "large", 4500, 100);
			}
			assertThat(isWorthAsking(10, POSSIBLY_LATE)).isFalse();
			assertThat(isWorthAsking(10, new DelayEstimate(3000, 300))).isTrue();
		}

	}

	@Nested
	class WithAMiddleModel {

		private Optional<String> modelAfter(int confidence) {
			return ModelSelectorTests.this.selector.findLargerModel(ROUTE, "small", OptionalInt.of(confidence), false);
		}

		/**
		 * Under heavy load two in five answers have low confidence, and the largest
		 * model, ten times as slow, is late with all of them. Half of these requests are
		 * only slightly too hard for the smallest model.
		 */
		@Test
		void nearlySufficientAnswerGoesToTheMiddleModel() {
			assertThat(modelAfter(48)).contains("middle");
			assertThat(modelAfter(20)).contains("large");
		}

		@Test
		void middleModelIsAskedIfItsConfidenceWasHighEnough() {
			for (int i = 0; i < 60; i++) {
				ModelSelectorTests.this.selector.recordComparison("small", 30, "middle", 60);
			}
			assertThat(modelAfter(25)).contains("middle");
			for (int i = 0; i < 200; i++) {
				ModelSelectorTests.this.selector.recordComparison("small", 45, "middle", 46);
			}
			assertThat(modelAfter(48)).contains("large");
		}

		@Test
		void confidenceAtTheEndsOfTheScaleIsIgnored() {
			for (int i = 0; i < 60; i++) {
				ModelSelectorTests.this.selector.recordComparison("small", 0, "middle", 100);
			}
			assertThat(modelAfter(20)).contains("large");
		}

		@Test
		void lastAttemptGoesToTheLargestModel() {
			assertThat(ModelSelectorTests.this.selector.findLargerModel(ROUTE, "small", OptionalInt.of(48), true))
				.contains("large");
		}

		@Test
		void lowConfidenceOfTheMiddleModelGoesToTheLargest() {
			assertThat(ModelSelectorTests.this.selector.findLargerModel(ROUTE, "middle", OptionalInt.of(30), true))
				.contains("large");
		}

	}

}
