package org.gullsaddle.serve;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.gullsaddle.base.Verdict;
import org.gullsaddle.fleet.Route;
import org.gullsaddle.fleet.RouteKind;
import org.gullsaddle.fleet.ServiceName;
import org.gullsaddle.fleet.ServiceShare;

import static org.assertj.core.api.Assertions.assertThat;

class RetryRuleTests {

	private static RetryRule rule(RouteKind kind, boolean resumable, int attempts) {
		return new RetryRule(Route.named("r")
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
		RetryRule rule = rule(RouteKind.ONCE, false, 3);
		rule.ended(new AttemptEnd.Broken("reset"));
		assertThat(rule.mayTryAgain(5000)).isFalse();
		assertThat(rule.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	@Test
	void requestThatNoReplicaRanIsTriedElsewhereWhateverItsKind() {
		RetryRule rule = rule(RouteKind.ONCE, false, 1);
		rule.ended(new AttemptEnd.NotRun(false, "refused with 503"));
		assertThat(rule.mayTryAgain(5000)).isTrue();
		assertThat(rule.verdict()).isEqualTo(Verdict.NOT_RUN);
	}

	@Test
	void idempotentRequestRunsOnAsManyReplicasAsItsRouteAllows() {
		RetryRule rule = rule(RouteKind.IDEMPOTENT, false, 2);
		rule.ended(new AttemptEnd.Answered(500));
		assertThat(rule.mayTryAgain(5000)).isTrue();
		rule.ended(new AttemptEnd.Answered(500));
		assertThat(rule.mayTryAgain(5000)).isFalse();
	}

	@Test
	void streamIsRepeatedOnlyIfItCanBeResumed() {
		RetryRule plain = rule(RouteKind.STREAM, false, 3);
		plain.ended(new AttemptEnd.Broken("reset"));
		assertThat(plain.mayTryAgain(5000)).isFalse();
		RetryRule resumable = rule(RouteKind.STREAM, true, 3);
		resumable.ended(new AttemptEnd.Broken("reset"));
		assertThat(resumable.mayTryAgain(5000)).isTrue();
	}

	@Test
	void answerIsNotDroppedWhenNoAttemptIsLeftToReplaceIt() {
		RetryRule rule = rule(RouteKind.STREAM, true, 2);
		assertThat(rule.mayDrop(5000)).isTrue();
		rule.ended(new AttemptEnd.Broken("reset"));
		assertThat(rule.mayDrop(5000)).isFalse();
	}

	@Test
	void refusalsByReplicasAreNotFollowedForEver() {
		RetryRule rule = rule(RouteKind.IDEMPOTENT, false, 2);
		for (int i = 0; i < 3; i++) {
			rule.ended(new AttemptEnd.NotRun(false, "refused with 503"));
		}
		assertThat(rule.mayTryAgain(5000)).isFalse();
	}

	/** Guards against an answer that is given up when the next refusal would end it. */
	@Test
	void answerIsNotMovedOnceSeveralReplicasHaveRefused() {
		RetryRule rule = rule(RouteKind.STREAM, true, 3);
		rule.ended(new AttemptEnd.NotRun(false, "refused with 503"));
		assertThat(rule.mayMove(5000)).isTrue();
		rule.ended(new AttemptEnd.NotRun(false, "refused with 503"));
		assertThat(rule.mayMove(5000)).isFalse();
	}

	@Test
	void answerIsNotMovedWhenItsRouteAllowsNoMoreAttempts() {
		RetryRule rule = rule(RouteKind.STREAM, true, 2);
		assertThat(rule.mayMove(5000)).isTrue();
		rule.ended(new AttemptEnd.Broken("reset"));
		assertThat(rule.mayMove(5000)).isFalse();
	}

}
