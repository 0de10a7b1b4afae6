package org.gullsaddle.gateway;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.gullsaddle.fleet.FleetChange;
import org.gullsaddle.fleet.RolloutOrder;
import org.gullsaddle.fleet.RolloutState;
import org.gullsaddle.fleet.ServiceName;

import static org.assertj.core.api.Assertions.assertThat;

class FleetFeedTests {

	/**
	 * Many replicas write their heartbeats, so that each call for changes is answered at
	 * once. Asked again at once, the store would be asked as often as all replicas beat,
	 * by every node.
	 */
	@Nested
	class WhenChangesComeAllTheTime {

		private static final ServiceName SERVICE = new ServiceName("engines");

		private static final FleetChange ORDERED = new FleetChange.Ordered(new RolloutOrder(SERVICE, "v2", 20_000), 1);

		private final FleetState state = new FleetState();

		@Test
		void nextCallBeginsAnIntervalAfterTheLastOne() {
			assertThat(FleetFeed.pause(5000, 5004, 1000)).isEqualTo(996);
		}

		/** Guards against paying for news twice as often as it must be known. */
		@Test
		void intervalIsAPartOfTheTimeInWhichNewsMustBeInForce() {
			assertThat(feed(5000).everyMillis()).isEqualTo(2000);
			assertThat(feed(3000).everyMillis()).isEqualTo(1200);
			assertThat(feed(1000).everyMillis()).isEqualTo(1000);
		}

		/** Guards against roll-out notes of other nodes that come too late to act on. */
		@Test
		void newsIsAskedForEverySecondWhileARolloutIsUnderWay() {
			FleetFeed feed = feed(5000);
			this.state.apply(0, ORDERED);
			assertThat(feed.everyMillis()).isEqualTo(1000);
			this.state.apply(0, new FleetChange.Progressed(SERVICE, "v2", RolloutState.RUNNING, 2));
			assertThat(feed.everyMillis()).isEqualTo(1000);
			this.state.apply(0, new FleetChange.Progressed(SERVICE, "v2", RolloutState.COMPLETED, 3));
			assertThat(feed.everyMillis()).isEqualTo(2000);
		}

		private FleetFeed feed(long newsMillis) {
			return new FleetFeed(null, null, this.state, new DecisionLog(), (change) -> {
			}, newsMillis);
		}

	}

	@Nested
	class WhenACallHasWaitedLong {

		@Test
		void nextCallBeginsAtOnce() {
			assertThat(FleetFeed.pause(5000, 6000, 1000)).isZero();
			assertThat(FleetFeed.pause(5000, 7500, 1000)).isZero();
		}

	}

}
