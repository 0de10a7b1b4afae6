package org.gullsaddle.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.gullsaddle.fleet.FleetChange;
import org.gullsaddle.telemetry.Telemetry;

/**
 * Reads the configuration anew for requests that the known one is too old to decide. One
 * call serves all that wait, and after a failure none is made for a moment. Confined to
 * the event loop.
 */
final class ConfigCheck {

	/** How many requests may wait for one call. */
	private static final int MAX_WAITING = 256;

	/** How long after a failure no call is made, in milliseconds. */
	private static final long AGAIN_MILLIS = 300;

	private final FleetSource source;

	private final FleetState state;

	private final Consumer<FleetChange> learned;

	private final DecisionLog log;

	private final Telemetry telemetry;

	private final List<Runnable> waiting = new ArrayList<>();

	private boolean failing;

	private long failedAt;

	/**
	 * Makes a check.
	 * @param learned is told of what is read, after the state has taken it in
	 */
	ConfigCheck(FleetSource source, FleetState state, Consumer<FleetChange> learned, DecisionLog log,
			Telemetry telemetry) {
		this.source = source;
		this.state = state;
		this.learned = learned;
		this.log = log;
		this.telemetry = telemetry;
	}

	/**
	 * Says whether the last call failed, so that another one would likely cost time only.
	 */
	boolean failing() {
		return this.failing;
	}

	/**
	 * Reads the configuration.
	 * @param then is run once it was read, or could not be
	 */
	void read(Runnable then) {
		long now = Clock.millis();
		if (this.waiting.size() >= MAX_WAITING || (this.failing && now - this.failedAt < AGAIN_MILLIS)) {
			then.run();
			return;
		}
		this.waiting.add(then);
		if (this.waiting.size() == 1) {
			this.telemetry.count("config.checks");
			this.source.configuration().subscribe((changes) -> took(changes, now), (failure) -> failed(failure, now));
		}
	}

	private void took(List<FleetChange> changes, long askedAt) {
		this.failing = false;
		this.state.configHeard(askedAt);
		for (FleetChange change : changes) {
			if (this.state.apply(Clock.millis(), change)) {
				this.log.learned(change, 0, Clock.millis() - askedAt);
			}
			this.learned.accept(change);
		}
		release();
	}

	private void failed(Throwable failure, long askedAt) {
		this.failing = true;
		this.failedAt = Clock.millis();
		this.telemetry.count("config.checks.failed");
		this.log.storeCallFailed("configuration", this.failedAt - askedAt, failure.getMessage());
		release();
	}

	private void release() {
		List<Runnable> all = List.copyOf(this.waiting);
		this.waiting.clear();
		all.forEach(Runnable::run);
	}

}
