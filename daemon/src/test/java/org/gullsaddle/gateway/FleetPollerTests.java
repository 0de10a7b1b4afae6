package org.gullsaddle.gateway;

import java.util.List;

import io.reactivex.rxjava3.core.Single;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.gullsaddle.fleet.FleetChange;
import org.gullsaddle.fleet.RolloutOrder;
import org.gullsaddle.fleet.RolloutState;
import org.gullsaddle.fleet.ServiceName;
import org.gullsaddle.serve.RolloutLimits;

import static org.assertj.core.api.Assertions.assertThat;

class FleetPollerTests {

	/**
	 * Heartbeats of many replicas make each call for changes return at once. Without a
	 * pause every node would call the store as often as all replicas send heartbeats.
	 */
	@Nested
	class WhenChangesArriveConstantly {

		private static final ServiceName SERVICE = new ServiceName("engines");

		private static final FleetChange ORDERED = new FleetChange.RolloutOrdered(
				new RolloutOrder(SERVICE, "v2", 60_000), 1);

		private static final FleetSource STORE_THAT_NEVER_ANSWERS = new FleetSource() {

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
				return Single.never();
			}

		};

		private final FleetState state = new FleetState(RolloutLimits.DEFAULT);

		@Test
		void nextCallBeginsAnIntervalAfterTheLastOne() {
			assertThat(FleetPoller.delayMillis(5000, 5004, 1000)).isEqualTo(996);
		}

		/**
		 * Guards against calls, which cost money, that are twice as frequent as needed.
		 */
		@Test
		void intervalIsHalfThePropagationTime() {
			assertThat(poller(5000).intervalMillis(0)).isEqualTo(2500);
			assertThat(poller(4000).intervalMillis(0)).isEqualTo(2000);
			assertThat(poller(3000).intervalMillis(0)).isEqualTo(1500);
			assertThat(poller(1000).intervalMillis(0)).isEqualTo(1000);
		}

		/** Guards against roll-out notes of peers that arrive too late to act on. */
		@Test
		void intervalIsShorterDuringARollout() {
			FleetPoller feed = poller(5000);
			this.state.apply(0, ORDERED);
			assertThat(feed.intervalMillis(0)).isEqualTo(1600);
			this.state.apply(0, new FleetChange.RolloutProgressed(SERVICE, "v2", RolloutState.RUNNING, 2));
			assertThat(feed.intervalMillis(0)).isEqualTo(1600);
			this.state.apply(0, new FleetChange.RolloutProgressed(SERVICE, "v2", RolloutState.COMPLETED, 3));
			assertThat(feed.intervalMillis(0)).isEqualTo(2500);
		}

		/**
		 * Guards against a short roll-out that ends before evidence has reached all
		 * nodes.
		 */
		@Test
		void intervalIsEvenShorterDuringAShortRollout() {
			FleetPoller feed = poller(3000);
			this.state.apply(0, new FleetChange.RolloutOrdered(new RolloutOrder(SERVICE, "v3", 16_000), 2));
			assertThat(feed.intervalMillis(0)).isEqualTo(1000);
			this.state.apply(0, new FleetChange.RolloutOrdered(new RolloutOrder(SERVICE, "v4", 4000), 3));
			assertThat(feed.intervalMillis(0)).isEqualTo(500);
		}

		@Test
		void rolloutDoesNotLengthenTheInterval() {
			FleetPoller feed = poller(3000);
			this.state.apply(0, ORDERED);
			assertThat(feed.intervalMillis(0)).isEqualTo(1500);
		}

		/**
		 * Guards against replicas that reappear after an outage and are noticed seconds
		 * later.
		 */
		@Test
		void intervalIsOneSecondAfterAFullRead() {
			FleetPoller feed = poller(5000);
			feed.onUpdate(new FleetSource.Update(List.of(), 7), true);
			long now = MonotonicClock.millis();
			assertThat(feed.intervalMillis(now)).isEqualTo(1000);
			assertThat(feed.intervalMillis(now + 5000)).isEqualTo(2500);
		}

		private FleetPoller poller(long newsMillis) {
			return new FleetPoller(null, STORE_THAT_NEVER_ANSWERS, this.state, new DecisionLog(), (change) -> {
			}, newsMillis, () -> false);
		}

	}

	@Nested
	class WhenACallHasWaitedLong {

		@Test
		void nextCallBeginsAtOnce() {
			assertThat(FleetPoller.delayMillis(5000, 6000, 1000)).isZero();
			assertThat(FleetPoller.delayMillis(5000, 7500, 1000)).isZero();
		}

	}

}
