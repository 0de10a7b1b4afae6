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

	private static RetryPolicy policy(RouteKind kind, boolean resumable, int attempts) {
		return new RetryPolicy(Route.named("r")
			.at("shop.example", "/r/")
			.kind(kind, resumable)
			.to(List.of(new ServiceShare(new ServiceName("desk"), 1)))
			.within(5000, 1000, 0)
			.maxAttempts(attempts)
			.build());
	}

	/**
	 * The connection breaks after a request that may not be repeated was sent. A retry
	 * could run it twice; so would its caller if told that it did not run.
	 */
	@Test
	void nonRepeatableRequestIsNotRetriedOnceItMayHaveRun() {
		RetryPolicy policy = policy(RouteKind.ONCE, false, 3);
		policy.onAttemptEnded(new AttemptEnd.Broken("reset"));
		assertThat(policy.canRetry(5000)).isFalse();
		assertThat(policy.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	@Test
	void requestThatDidNotRunIsRetriedWhateverItsKind() {
		RetryPolicy policy = policy(RouteKind.ONCE, false, 1);
		policy.onAttemptEnded(new AttemptEnd.NotRun(false, "refused with 503"));
		assertThat(policy.canRetry(5000)).isTrue();
		assertThat(policy.verdict()).isEqualTo(Verdict.NOT_RUN);
	}

	@Test
	void idempotentRequestRunsOnAsManyReplicasAsItsRouteAllows() {
		RetryPolicy policy = policy(RouteKind.IDEMPOTENT, false, 2);
		policy.onAttemptEnded(new AttemptEnd.Answered(500));
		assertThat(policy.canRetry(5000)).isTrue();
		policy.onAttemptEnded(new AttemptEnd.Answered(500));
		assertThat(policy.canRetry(5000)).isFalse();
	}

	@Test
	void streamIsRepeatedOnlyIfItCanBeResumed() {
		RetryPolicy plain = policy(RouteKind.STREAM, false, 3);
		plain.onAttemptEnded(new AttemptEnd.Broken("reset"));
		assertThat(plain.canRetry(5000)).isFalse();
		RetryPolicy resumable = policy(RouteKind.STREAM, true, 3);
		resumable.onAttemptEnded(new AttemptEnd.Broken("reset"));
		assertThat(resumable.canRetry(5000)).isTrue();
	}

	@Test
	void answerIsNotDroppedWhenNoAttemptIsLeftToReplaceIt() {
		RetryPolicy policy = policy(RouteKind.STREAM, true, 2);
		assertThat(policy.canDropAnswer(5000)).isTrue();
		policy.onAttemptEnded(new AttemptEnd.Broken("reset"));
		assertThat(policy.canDropAnswer(5000)).isFalse();
	}

	@Test
	void requestIsNotRetriedAfterThreeRefusals() {
		RetryPolicy policy = policy(RouteKind.IDEMPOTENT, false, 2);
		for (int i = 0; i < 3; i++) {
			policy.onAttemptEnded(new AttemptEnd.NotRun(false, "refused with 503"));
		}
		assertThat(policy.canRetry(5000)).isFalse();
	}

	/**
	 * Guards against an attempt that is given up although a single further refusal would
	 * end the request.
	 */
	@Test
	void answerIsNotMovedOnceSeveralReplicasHaveRefused() {
		RetryPolicy policy = policy(RouteKind.STREAM, true, 3);
		policy.onAttemptEnded(new AttemptEnd.NotRun(false, "refused with 503"));
		assertThat(policy.canMoveAttempt(5000)).isTrue();
		policy.onAttemptEnded(new AttemptEnd.NotRun(false, "refused with 503"));
		assertThat(policy.canMoveAttempt(5000)).isFalse();
	}

	@Test
	void answerIsNotMovedWhenItsRouteAllowsNoMoreAttempts() {
		RetryPolicy policy = policy(RouteKind.STREAM, true, 2);
		assertThat(policy.canMoveAttempt(5000)).isTrue();
		policy.onAttemptEnded(new AttemptEnd.Broken("reset"));
		assertThat(policy.canMoveAttempt(5000)).isFalse();
	}

}
