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
final class ConfigRefresher {

	/**
	 * How old the configuration may be by which a request is refused for good, as a part
	 * of the time in which a change must be in force. An older one is read anew first;
	 * while it cannot be, the request is refused for now only.
	 */
	private static final double MAX_AGE_TO_REFUSE_RATIO = 0.6;

	/**
	 * How old the configuration may be by which a request is served, as the same part. An
	 * older one is read anew first; while it cannot be, requests are served by it, so
	 * that an outage of the store is none of the gateway.
	 */
	private static final double MAX_AGE_TO_SERVE_RATIO = 0.8;

	/** How many requests may wait for one call. */
	private static final int MAX_WAITING = 256;

	/** How long after a failure no call is made, in milliseconds. */
	private static final long RETRY_DELAY_MILLIS = 300;

	private final FleetSource source;

	private final FleetState state;

	private final long maxPropagationMillis;

	private final Consumer<FleetChange> changeListener;

	private final DecisionLog log;

	private final Telemetry telemetry;

	private final SuspendDetector suspendDetector = new SuspendDetector();

	private final List<Runnable> waiting = new ArrayList<>();

	private boolean failing;

	private long failedAt;

	/**
	 * Makes a check.
	 * @param newsMillis how soon a change must be in force here, in milliseconds
	 * @param learned is told of what is read, after the state has taken it in
	 */
	ConfigRefresher(FleetSource source, FleetState state, long newsMillis, Consumer<FleetChange> learned,
			DecisionLog log, Telemetry telemetry) {
		this.source = source;
		this.state = state;
		this.maxPropagationMillis = newsMillis;
		this.changeListener = learned;
		this.log = log;
		this.telemetry = telemetry;
	}

	/**
	 * Says whether the configuration must be read anew before it decides a request.
	 * @param allowed whether the known one allows the request
	 */
	boolean isDue(boolean allowed) {
		long now = MonotonicClock.millis();
		checkForSuspension(now);
		long age = this.state.configAgeMillis(now);
		if (allowed) {
			// Another call would likely cost the caller time only.
			boolean away = this.failing || this.state.directory().storeAway();
			return !away && age > MAX_AGE_TO_SERVE_RATIO * this.maxPropagationMillis;
		}
		return this.state.hasUnreadableConfig() || age > MAX_AGE_TO_REFUSE_RATIO * this.maxPropagationMillis;
	}

	/**
	 * Lets knowledge age by the time for which the machine was suspended.
	 */
	void checkForSuspension(long now) {
		long slept = this.suspendDetector.check(now, System.currentTimeMillis());
		if (slept > 0) {
			this.log.nodeSuspended(slept);
			this.state.onSuspended(slept);
		}
	}

	/**
	 * Reads the configuration.
	 * @param then is run once it was read, or could not be
	 */
	void refresh(Runnable then) {
		long now = MonotonicClock.millis();
		if (this.waiting.size() >= MAX_WAITING || (this.failing && now - this.failedAt < RETRY_DELAY_MILLIS)) {
			then.run();
			return;
		}
		this.waiting.add(then);
		if (this.waiting.size() == 1) {
			this.telemetry.count("config.checks");
			this.source.readConfig()
				.subscribe((changes) -> onConfig(changes, now), (failure) -> onFailure(failure, now));
		}
	}

	private void onConfig(List<FleetChange> changes, long askedAt) {
		this.failing = false;
		this.state.onConfigRead(askedAt);
		for (FleetChange change : changes) {
			if (this.state.apply(MonotonicClock.millis(), change)) {
				this.log.fleetChange(change, 0, MonotonicClock.millis() - askedAt);
			}
			this.changeListener.accept(change);
		}
		resumeWaiting();
	}

	private void onFailure(Throwable failure, long askedAt) {
		this.failing = true;
		this.failedAt = MonotonicClock.millis();
		this.telemetry.count("config.checks.failed");
		this.log.storeCallFailed("configuration", this.failedAt - askedAt, failure.getMessage());
		resumeWaiting();
	}

	private void resumeWaiting() {
		List<Runnable> all = List.copyOf(this.waiting);
		this.waiting.clear();
		all.forEach(Runnable::run);
	}

}
