package org.gullsaddle.gateway;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.gullsaddle.fleet.Route;
import org.gullsaddle.fleet.RouteKind;
import org.gullsaddle.fleet.ServiceName;
import org.gullsaddle.fleet.ServiceShare;

import static org.assertj.core.api.Assertions.assertThat;

class DrainPolicyTests {

	private static final long STOP_MILLIS = 8000;

	private static final long TARGET_MILLIS = 500;

	private final DrainPolicy plan = new DrainPolicy();

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
			assertThat(DrainPolicyTests.this.plan.accepts(route(RouteKind.STREAM), 1_000_000)).isTrue();
			assertThat(DrainPolicyTests.this.plan.latestAnswerAt(route(RouteKind.ONCE))).isEqualTo(Long.MAX_VALUE);
		}

	}

	/**
	 * Callers reach a stopping node until the load balancer has noticed, and later too if
	 * no other node is ready.
	 */
	@Nested
	class AfterAStopWasAskedFor {

		@Test
		void streamsAreTakenUntilTheBalancerHasNoticed() {
			DrainPolicyTests.this.plan.begin(0, STOP_MILLIS);
			assertThat(DrainPolicyTests.this.plan.accepts(route(RouteKind.STREAM), 2899)).isTrue();
			assertThat(DrainPolicyTests.this.plan.accepts(route(RouteKind.STREAM), 2900)).isFalse();
		}

		@Test
		void whatHasNoAnswerGetsOneBeforeTheEnd() {
			assertThat(DrainPolicyTests.this.plan.shouldAnswerNow(1_000_000)).isFalse();
			DrainPolicyTests.this.plan.begin(0, STOP_MILLIS);
			assertThat(DrainPolicyTests.this.plan.shouldAnswerNow(7399)).isFalse();
			assertThat(DrainPolicyTests.this.plan.shouldAnswerNow(7400)).isTrue();
			assertThat(DrainPolicyTests.this.plan.isOver(7400)).isFalse();
		}

		@Test
		void callsAreTakenWhileFourObjectivesAreLeft() {
			DrainPolicyTests.this.plan.begin(0, STOP_MILLIS);
			assertThat(DrainPolicyTests.this.plan.accepts(route(RouteKind.ONCE), 5400)).isTrue();
			assertThat(DrainPolicyTests.this.plan.accepts(route(RouteKind.IDEMPOTENT), 5400)).isTrue();
			assertThat(DrainPolicyTests.this.plan.accepts(route(RouteKind.ONCE), 5401)).isFalse();
		}

		@Test
		void callerThatNoOtherNodeTakesIsToldWhenThisOneIsBack() {
			DrainPolicyTests.this.plan.begin(0, STOP_MILLIS);
			assertThat(DrainPolicyTests.this.plan.retryAfterMillis(3000)).isEqualTo(5500);
			assertThat(DrainPolicyTests.this.plan.retryAfterMillis(8000)).isEqualTo(900);
		}

		@Test
		void callThatTakesLongerIsAnsweredBeforeOpenRequestsAreCutOff() {
			DrainPolicyTests.this.plan.begin(0, STOP_MILLIS);
			long latest = DrainPolicyTests.this.plan.latestAnswerAt(route(RouteKind.ONCE));
			assertThat(latest).isEqualTo(7400);
			assertThat(DrainPolicyTests.this.plan.isOver(latest)).isFalse();
			assertThat(DrainPolicyTests.this.plan.isOver(7600)).isTrue();
			assertThat(DrainPolicyTests.this.plan.latestAnswerAt(route(RouteKind.STREAM))).isEqualTo(Long.MAX_VALUE);
		}

	}

}
