package org.gullsaddle.serve;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.gullsaddle.base.Verdict;
import org.gullsaddle.fleet.Route;
import org.gullsaddle.fleet.RouteKind;
import org.gullsaddle.fleet.ServiceName;
import org.gullsaddle.fleet.ServiceShare;

import static org.assertj.core.api.Assertions.assertThat;

class RetryPolicyTests {

	private static RetryPolicy rule(RouteKind kind, boolean resumable, int attempts) {
		return new RetryPolicy(Route.named("r")
			.at("shop.example", "/r/")
			.kind(kind, resumable)
			.to(List.of(new ServiceShare(new ServiceName("desk"), 1)))
			.within(5000, 1000, 0)
			.maxAttempts(attempts)
			.build());
	}

	/**
	 * An order's connection breaks after it was sent. Sent again, a shop would get a
	 * second pallet of butter; refused as not run, its caller would send it again.
	 */
	@Test
	void requestThatMayNotBeRepeatedIsNeverTriedAgainOnceItMayHaveRun() {
		RetryPolicy rule = rule(RouteKind.ONCE, false, 3);
		rule.onAttemptEnded(new AttemptEnd.Broken("reset"));
		assertThat(rule.canRetry(5000)).isFalse();
		assertThat(rule.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	@Test
	void requestThatNoReplicaRanIsTriedElsewhereWhateverItsKind() {
		RetryPolicy rule = rule(RouteKind.ONCE, false, 1);
		rule.onAttemptEnded(new AttemptEnd.NotRun(false, "refused with 503"));
		assertThat(rule.canRetry(5000)).isTrue();
		assertThat(rule.verdict()).isEqualTo(Verdict.NOT_RUN);
	}

	@Test
	void idempotentRequestRunsOnAsManyReplicasAsItsRouteAllows() {
		RetryPolicy rule = rule(RouteKind.IDEMPOTENT, false, 2);
		rule.onAttemptEnded(new AttemptEnd.Answered(500));
		assertThat(rule.canRetry(5000)).isTrue();
		rule.onAttemptEnded(new AttemptEnd.Answered(500));
		assertThat(rule.canRetry(5000)).isFalse();
	}

	@Test
	void streamIsRepeatedOnlyIfItCanBeResumed() {
		RetryPolicy plain = rule(RouteKind.STREAM, false, 3);
		plain.onAttemptEnded(new AttemptEnd.Broken("reset"));
		assertThat(plain.canRetry(5000)).isFalse();
		RetryPolicy resumable = rule(RouteKind.STREAM, true, 3);
		resumable.onAttemptEnded(new AttemptEnd.Broken("reset"));
		assertThat(resumable.canRetry(5000)).isTrue();
	}

	@Test
	void answerIsNotDroppedWhenNoAttemptIsLeftToReplaceIt() {
		RetryPolicy rule = rule(RouteKind.STREAM, true, 2);
		assertThat(rule.canDropAnswer(5000)).isTrue();
		rule.onAttemptEnded(new AttemptEnd.Broken("reset"));
		assertThat(rule.canDropAnswer(5000)).isFalse();
	}

	@Test
	void refusalsByReplicasAreNotFollowedForEver() {
		RetryPolicy rule = rule(RouteKind.IDEMPOTENT, false, 2);
		for (int i = 0; i < 3; i++) {
			rule.onAttemptEnded(new AttemptEnd.NotRun(false, "refused with 503"));
		}
		assertThat(rule.canRetry(5000)).isFalse();
	}

	/** Guards against an answer that is given up when the next refusal would end it. */
	@Test
	void answerIsNotMovedOnceSeveralReplicasHaveRefused() {
		RetryPolicy rule = rule(RouteKind.STREAM, true, 3);
		rule.onAttemptEnded(new AttemptEnd.NotRun(false, "refused with 503"));
		assertThat(rule.canMoveAttempt(5000)).isTrue();
		rule.onAttemptEnded(new AttemptEnd.NotRun(false, "refused with 503"));
		assertThat(rule.canMoveAttempt(5000)).isFalse();
	}

	@Test
	void answerIsNotMovedWhenItsRouteAllowsNoMoreAttempts() {
		RetryPolicy rule = rule(RouteKind.STREAM, true, 2);
		assertThat(rule.canMoveAttempt(5000)).isTrue();
		rule.onAttemptEnded(new AttemptEnd.Broken("reset"));
		assertThat(rule.canMoveAttempt(5000)).isFalse();
	}

}
