package org.gullsaddle.gateway;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.gullsaddle.fleet.Route;
import org.gullsaddle.fleet.RouteKind;
import org.gullsaddle.fleet.ServiceName;
import org.gullsaddle.fleet.ServiceShare;

import static org.assertj.core.api.Assertions.assertThat;

class StopPlanTests {

	private static final long STOP_MILLIS = 8000;

	private static final long TARGET_MILLIS = 500;

	private final StopPlan plan = new StopPlan();

	private static Route route(RouteKind kind) {
		return Route.named("r")
			.at("shop.example", "/read/")
			.kind(kind, false)
			.to(List.of(new ServiceShare(new ServiceName("desk"), 1)))
			.within(6000, TARGET_MILLIS, 0)
			.build();
	}

	@Nested
	class BeforeAStop {

		@Test
		void everythingIsTakenAndNothingIsShortened() {
			assertThat(StopPlanTests.this.plan.takes(route(RouteKind.STREAM), 1_000_000)).isTrue();
			assertThat(StopPlanTests.this.plan.latest(route(RouteKind.ONCE))).isEqualTo(Long.MAX_VALUE);
		}

	}

	/**
	 * Callers come to a node that stops as long as the balancer has not noticed, and
	 * later too if no other node is ready.
	 */
	@Nested
	class AfterAStopWasAskedFor {

		@Test
		void streamsAreTakenUntilTheBalancerHasNoticed() {
			StopPlanTests.this.plan.begin(0, STOP_MILLIS);
			assertThat(StopPlanTests.this.plan.takes(route(RouteKind.STREAM), 2899)).isTrue();
			assertThat(StopPlanTests.this.plan.takes(route(RouteKind.STREAM), 2900)).isFalse();
		}

		@Test
		void whatHasNoAnswerGetsOneBeforeTheEnd() {
			assertThat(StopPlanTests.this.plan.answersNow(1_000_000)).isFalse();
			StopPlanTests.this.plan.begin(0, STOP_MILLIS);
			assertThat(StopPlanTests.this.plan.answersNow(7399)).isFalse();
			assertThat(StopPlanTests.this.plan.answersNow(7400)).isTrue();
			assertThat(StopPlanTests.this.plan.over(7400)).isFalse();
		}

		@Test
		void callsAreTakenWhileFourObjectivesAreLeft() {
			StopPlanTests.this.plan.begin(0, STOP_MILLIS);
			assertThat(StopPlanTests.this.plan.takes(route(RouteKind.ONCE), 5400)).isTrue();
			assertThat(StopPlanTests.this.plan.takes(route(RouteKind.IDEMPOTENT), 5400)).isTrue();
			assertThat(StopPlanTests.this.plan.takes(route(RouteKind.ONCE), 5401)).isFalse();
		}

		@Test
		void callerThatNoOtherNodeTakesIsToldWhenThisOneIsBack() {
			StopPlanTests.this.plan.begin(0, STOP_MILLIS);
			assertThat(StopPlanTests.this.plan.backMillis(3000)).isEqualTo(5500);
			assertThat(StopPlanTests.this.plan.backMillis(8000)).isEqualTo(900);
		}

		@Test
		void callThatTakesLongerIsAnsweredBeforeOpenRequestsAreCutOff() {
			StopPlanTests.this.plan.begin(0, STOP_MILLIS);
			long latest = StopPlanTests.this.plan.latest(route(RouteKind.ONCE));
			assertThat(latest).isEqualTo(7400);
			assertThat(StopPlanTests.this.plan.over(latest)).isFalse();
			assertThat(StopPlanTests.this.plan.over(7600)).isTrue();
			assertThat(StopPlanTests.this.plan.latest(route(RouteKind.STREAM))).isEqualTo(Long.MAX_VALUE);
		}

	}

}
