package org.gullsaddle.gateway;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.gullsaddle.fleet.FleetChange;
import org.gullsaddle.fleet.RolloutOrder;
import org.gullsaddle.fleet.ServiceName;
import org.gullsaddle.serve.RolloutLimits;
import org.gullsaddle.telemetry.Telemetry;

import static org.assertj.core.api.Assertions.assertThat;

class RolloutControllerTests {

	private final Vertx vertx = Vertx.vertx();

	@AfterEach
	void close() {
		this.vertx.close().await();
	}

	/**
	 * Guards against a roll-out that no node ends, as the loop that checks it ends with
	 * the first state that cannot be written.
	 */
	@Test
	void stateThatCouldNotBeWrittenIsWrittenAgain() throws Exception {
		CountDownLatch writes = new CountDownLatch(2);
		FleetState fleet = new FleetState(RolloutLimits.DEFAULT);
		fleet.apply(MonotonicClock.millis(),
				new FleetChange.RolloutOrdered(new RolloutOrder(new ServiceName("engines"), "v2", 60_000), 1));
		DecisionLog log = new DecisionLog();
		RolloutController controller = new RolloutController(this.vertx, (order, state, revision) -> {
			writes.countDown();
			throw new IllegalStateException("a fault of the writer");
		}, null, "self", fleet, null, log, new StepGuard(log, new Telemetry()));
		this.vertx.runOnContext((nothing) -> controller.start());
		assertThat(writes.await(20, TimeUnit.SECONDS)).isTrue();
	}

}
