package org.gullsaddle.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.gullsaddle.fleet.FleetChange;
import org.gullsaddle.fleet.RolloutOrder;
import org.gullsaddle.fleet.RolloutState;
import org.gullsaddle.fleet.ServiceName;
import org.gullsaddle.serve.RolloutLimits;
import org.gullsaddle.telemetry.Telemetry;

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
			DecisionLog log = new DecisionLog();
			return new FleetPoller(null, STORE_THAT_NEVER_ANSWERS, this.state, log, (change) -> {
			}, newsMillis, () -> false, new StepGuard(log, new Telemetry()));
		}

	}

	@Nested
	class WhenAChangeCannotBeApplied {

		private static final FleetChange BROKEN = new FleetChange.Configured(null);

		private final Vertx vertx = Vertx.vertx();

		private final FleetState state = new FleetState(RolloutLimits.DEFAULT);

		private final CountDownLatch polls = new CountDownLatch(3);

		@AfterEach
		void close() {
			this.vertx.close().await();
		}

		/**
		 * Guards against a node that never reads the store again after one change that it
		 * cannot apply.
		 */
		@Test
		void othersAreAppliedAndTheNextCallIsMade() throws Exception {
			List<FleetChange> changes = List.of(BROKEN, new FleetChange.EvacuationBegan("a"));
			List<FleetChange> heard = new ArrayList<>();
			start(changes, heard::add);
			assertThat(this.polls.await(20, TimeUnit.SECONDS)).isTrue();
			assertThat(this.state.directory().evacuatedDataCenters()).containsExactly("a");
			assertThat(heard).containsSubsequence(changes);
		}

		/**
		 * Guards against the same by a part of the node that cannot handle a change.
		 */
		@Test
		void nextCallIsMadeThoughAListenerFails() throws Exception {
			start(List.of(new FleetChange.EvacuationBegan("a")), (change) -> {
				throw new IllegalStateException("a fault of a listener");
			});
			assertThat(this.polls.await(20, TimeUnit.SECONDS)).isTrue();
		}

		/** Guards against the same by a call that fails before it is made. */
		@Test
		void nextCallIsMadeThoughOneCannotBeMade() throws Exception {
			FleetSource source = source(() -> {
				throw new IllegalStateException("a fault of the source");
			});
			start(source, (change) -> {
			});
			assertThat(this.polls.await(20, TimeUnit.SECONDS)).isTrue();
		}

		private void start(List<FleetChange> changes, Consumer<FleetChange> listener) {
			start(source(() -> Single.just(new FleetSource.Update(changes, 1))), listener);
		}

		private void start(FleetSource source, Consumer<FleetChange> listener) {
			DecisionLog log = new DecisionLog();
			FleetPoller poller = new FleetPoller(this.vertx, source, this.state, log, listener, 1000, () -> false,
					new StepGuard(log, new Telemetry()));
			this.vertx.runOnContext((nothing) -> poller.start());
		}

		private FleetSource source(Supplier<Single<FleetSource.Update>> update) {
			return new FleetSource() {

				@Override
				public Single<Update> readAll() {
					WhenAChangeCannotBeApplied.this.polls.countDown();
					return update.get();
				}

				@Override
				public Single<Update> awaitChanges(long after, long waitMillis) {
					return readAll();
				}

				@Override
				public Single<List<FleetChange>> readConfig() {
					return Single.never();
				}

			};
		}

	}

	@Nested
	class WhenTheStoreIsBack {

		private final Vertx vertx = Vertx.vertx();

		private final FleetState state = new FleetState(RolloutLimits.DEFAULT);

		private final DecisionLog log = new DecisionLog();

		private final FleetPoller poller = new FleetPoller(this.vertx,
				WhenChangesArriveConstantly.STORE_THAT_NEVER_ANSWERS, this.state, this.log, (change) -> {
				}, 5000, () -> false, new StepGuard(this.log, new Telemetry()));

		@AfterEach
		void close() {
			this.vertx.close().await();
		}

		/**
		 * Guards against replicas that write their entries again after an outage and are
		 * noticed only when their former entries are no longer used.
		 */
		@Test
		void intervalIsOneSecondForAWhile() {
			this.state.directory().storeUnreachable(0, true);
			this.poller.onUpdate(new FleetSource.Update(List.of(), 7), false);
			long now = MonotonicClock.millis();
			assertThat(this.poller.intervalMillis(now)).isEqualTo(1000);
			assertThat(this.poller.intervalMillis(now + 5000)).isEqualTo(2500);
		}

		@Test
		void intervalIsTheUsualOneWithoutAnOutage() {
			this.poller.onUpdate(new FleetSource.Update(List.of(), 7), false);
			assertThat(this.poller.intervalMillis(MonotonicClock.millis())).isEqualTo(2500);
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
