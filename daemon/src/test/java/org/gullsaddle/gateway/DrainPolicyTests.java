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

	private final DrainPolicy policy = new DrainPolicy();

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
		void everythingIsAcceptedAndNoDeadlineIsShortened() {
			assertThat(DrainPolicyTests.this.policy.accepts(route(RouteKind.STREAM), 1_000_000)).isTrue();
			assertThat(DrainPolicyTests.this.policy.latestAnswerAt(route(RouteKind.ONCE))).isEqualTo(Long.MAX_VALUE);
		}

	}

	/**
	 * Callers reach a stopping node until the load balancer has noticed, and later too if
	 * no other node is ready.
	 */
	@Nested
	class DuringAStop {

		@Test
		void streamsAreAcceptedUntilTheBalancerHasNoticed() {
			DrainPolicyTests.this.policy.begin(0, STOP_MILLIS);
			assertThat(DrainPolicyTests.this.policy.accepts(route(RouteKind.STREAM), 2899)).isTrue();
			assertThat(DrainPolicyTests.this.policy.accepts(route(RouteKind.STREAM), 2900)).isFalse();
		}

		@Test
		void unansweredRequestsAreAnsweredBeforeTheEnd() {
			assertThat(DrainPolicyTests.this.policy.shouldAnswerNow(1_000_000)).isFalse();
			DrainPolicyTests.this.policy.begin(0, STOP_MILLIS);
			assertThat(DrainPolicyTests.this.policy.shouldAnswerNow(7399)).isFalse();
			assertThat(DrainPolicyTests.this.policy.shouldAnswerNow(7400)).isTrue();
			assertThat(DrainPolicyTests.this.policy.isOver(7400)).isFalse();
		}

		@Test
		void callsAreAcceptedWhileFourObjectivesAreLeft() {
			DrainPolicyTests.this.policy.begin(0, STOP_MILLIS);
			assertThat(DrainPolicyTests.this.policy.accepts(route(RouteKind.ONCE), 5400)).isTrue();
			assertThat(DrainPolicyTests.this.policy.accepts(route(RouteKind.IDEMPOTENT), 5400)).isTrue();
			assertThat(DrainPolicyTests.this.policy.accepts(route(RouteKind.ONCE), 5401)).isFalse();
		}

		@Test
		void callerWithoutAnotherNodeRetriesWhenThisOneServesAgain() {
			DrainPolicyTests.this.policy.begin(0, STOP_MILLIS);
			assertThat(DrainPolicyTests.this.policy.retryAfterMillis(3000)).isEqualTo(5500);
			assertThat(DrainPolicyTests.this.policy.retryAfterMillis(8000)).isEqualTo(900);
		}

		@Test
		void longCallIsAnsweredBeforeOpenRequestsAreAborted() {
			DrainPolicyTests.this.policy.begin(0, STOP_MILLIS);
			long latest = DrainPolicyTests.this.policy.latestAnswerAt(route(RouteKind.ONCE));
			assertThat(latest).isEqualTo(7400);
			assertThat(DrainPolicyTests.this.policy.isOver(latest)).isFalse();
			assertThat(DrainPolicyTests.this.policy.isOver(7600)).isTrue();
			assertThat(DrainPolicyTests.this.policy.latestAnswerAt(route(RouteKind.STREAM))).isEqualTo(Long.MAX_VALUE);
		}

	}

}
