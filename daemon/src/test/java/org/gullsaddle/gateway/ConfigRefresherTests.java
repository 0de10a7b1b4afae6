package org.gullsaddle.gateway;

import java.util.List;

import io.reactivex.rxjava3.core.Single;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.gullsaddle.fleet.FleetChange;
import org.gullsaddle.serve.RolloutLimits;
import org.gullsaddle.telemetry.Telemetry;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigRefresherTests {

	private static final long MAX_PROPAGATION_MILLIS = 10_000;

	private static final FleetSource FAILING_STORE = new FleetSource() {

		@Override
		public Single<Update> readAll() {
			return Single.never();
		}

		@Override
		public Single<Update> awaitChanges(long after, long waitMillis) {
			return Single.never();
		}

		@Override
		public Single<List<FleetChange>> readConfig() {
			return Single.error(new IllegalStateException("store answered 503"));
		}

	};

	private final FleetState state = new FleetState(RolloutLimits.DEFAULT);

	private final DecisionLog log = new DecisionLog();

	private final Telemetry telemetry = new Telemetry();

	private final ConfigRefresher refresher = new ConfigRefresher(FAILING_STORE, this.state, MAX_PROPAGATION_MILLIS,
			(change) -> {
			}, this.log, this.telemetry, new StepGuard(this.log, this.telemetry));

	private void updateFleet(long ageMillis) {
		this.state.onUpdate(MonotonicClock.millis() - ageMillis);
	}

	@Test
	void oldConfigurationIsReadAgainBeforeItAllowsARequest() {
		updateFleet(MAX_PROPAGATION_MILLIS);
		assertThat(this.refresher.isDue(true)).isTrue();
	}

	@Nested
	class AfterAFailedRead {

		@BeforeEach
		void fail() {
			updateFleet(MAX_PROPAGATION_MILLIS);
			ConfigRefresherTests.this.refresher.refresh(() -> {
			});
		}

		@Test
		void allowedRequestDoesNotWaitForAnother() {
			assertThat(ConfigRefresherTests.this.refresher.isDue(true)).isFalse();
		}

		/**
		 * Guards against requests that are served under an old configuration for good
		 * after one failed read, though the store has answered since.
		 */
		@Test
		void oldConfigurationIsReadAgainOnceTheStoreHasAnswered() {
			updateFleet(MAX_PROPAGATION_MILLIS);
			assertThat(ConfigRefresherTests.this.refresher.isDue(true)).isTrue();
		}

	}

}
