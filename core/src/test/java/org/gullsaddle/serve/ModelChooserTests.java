package org.gullsaddle.serve;

import java.util.List;
import java.util.OptionalInt;

import org.junit.jupiter.api.Test;

import org.gullsaddle.fleet.Route;
import org.gullsaddle.fleet.RouteKind;
import org.gullsaddle.fleet.ServiceName;
import org.gullsaddle.fleet.ServiceShare;

import static org.assertj.core.api.Assertions.assertThat;

class ModelChooserTests {

	private static final Route ROUTE = Route.named("ask")
		.at("shop.example", "/ask/")
		.kind(RouteKind.STREAM, true)
		.to(List.of(new ServiceShare(new ServiceName("engines"), 1)))
		.models(List.of("small", "middle", "large"))
		.within(15_000, 4000, 1000)
		.maxAttempts(3)
		.build();

	private final ModelChooser chooser = new ModelChooser();

	@Test
	void smallestIsAskedFirstAndTheLargestWhereItDoubts() {
		assertThat(this.chooser.first(ROUTE)).isEqualTo("small");
		assertThat(this.chooser.larger(ROUTE, "small", OptionalInt.of(10))).contains("large");
		assertThat(this.chooser.larger(ROUTE, "small", OptionalInt.of(90))).isEmpty();
		assertThat(this.chooser.larger(ROUTE, "small", OptionalInt.empty())).isEmpty();
		assertThat(this.chooser.larger(ROUTE, "large", OptionalInt.of(1))).isEmpty();
	}

	/**
	 * Twice the usual number of callers come. The largest model's answers come late, one
	 * after another; asked as often as before, it would make all answers late. Answers
	 * that are surely wrong are still replaced, and when the load is over doubt counts as
	 * before.
	 */
	@Test
	void lateAnswersOfTheLargestMakeItBeAskedLessUntilTheyAreInTimeAgain() {
		double before = this.chooser.enough();
		for (int i = 0; i < 40; i++) {
			this.chooser.answered(ROUTE, "large", 3900, 100);
		}
		assertThat(this.chooser.larger(ROUTE, "small", OptionalInt.of(30))).isEmpty();
		assertThat(this.chooser.larger(ROUTE, "small", OptionalInt.of(0))).contains("large");
		for (int i = 0; i < 100; i++) {
			this.chooser.answered(ROUTE, "large", 500, 100);
		}
		assertThat(this.chooser.enough()).isGreaterThanOrEqualTo(before);
	}

	@Test
	void longPauseBetweenEventsCountsAsLate() {
		double before = this.chooser.enough();
		this.chooser.answered(ROUTE, "large", 100, 1001);
		assertThat(this.chooser.enough()).isLessThan(before);
	}

	@Test
	void largestIsNotAskedWhereItWouldBeginTooLate() {
		assertThat(this.chooser.inTime(ROUTE, 3000, 15_000)).isTrue();
		assertThat(this.chooser.inTime(ROUTE, 3500, 15_000)).isFalse();
		assertThat(this.chooser.inTime(ROUTE, 3000, 3000)).isFalse();
	}

}
