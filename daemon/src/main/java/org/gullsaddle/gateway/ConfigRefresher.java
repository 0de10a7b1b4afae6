package org.gullsaddle.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import io.reactivex.rxjava3.core.Single;

import org.gullsaddle.fleet.FleetChange;
import org.gullsaddle.telemetry.Telemetry;

/**
 * Rereads the configuration for requests for which the known one is too old. One call
 * serves all waiting requests, and after a failure no call is made for
 * {@link #RETRY_DELAY_MILLIS}. Confined to the event loop.
 */
final class ConfigRefresher {

	/**
	 * Largest age of a configuration that may reject a request for good, relative to the
	 * time within which a change must take effect. An older one is reread first; while
	 * that fails, the request is only refused temporarily.
	 */
	private static final double MAX_AGE_TO_REFUSE_RATIO = 0.6;

	/**
	 * Largest age of a configuration under which a request is served, relative to the
	 * same time. An older one is reread first; while that fails, requests are served
	 * under it, so that an outage of the store does not become one of the gateway.
	 */
	private static final double MAX_AGE_TO_SERVE_RATIO = 0.8;

	/** Most requests that wait for one call. */
	private static final int MAX_WAITING = 256;

	/** Pause after a failed call, in milliseconds. */
	private static final long RETRY_DELAY_MILLIS = 300;

	private final FleetSource source;

	private final FleetState state;

	private final long maxPropagationMillis;

	private final Consumer<FleetChange> changeListener;

	private final DecisionLog log;

	private final Telemetry telemetry;

	private final StepGuard guard;

	private final SuspendDetector suspendDetector = new SuspendDetector();

	private final List<Runnable> waiting = new ArrayList<>();

	private long failedAt;

	/**
	 * Creates a refresher.
	 * @param maxPropagationMillis time within which a change must take effect here, in
	 * milliseconds
	 * @param changeListener receives what was read, after the state was updated
	 */
	ConfigRefresher(FleetSource source, FleetState state, long maxPropagationMillis,
			Consumer<FleetChange> changeListener, DecisionLog log, Telemetry telemetry, StepGuard guard) {
		this.source = source;
		this.state = state;
		this.maxPropagationMillis = maxPropagationMillis;
		this.changeListener = changeListener;
		this.log = log;
		this.telemetry = telemetry;
		this.guard = guard;
	}

	/**
	 * Returns whether the configuration must be reread before it decides on a request.
	 * @param allowed whether the known configuration allows the request
	 */
	boolean isDue(boolean allowed) {
		long now = MonotonicClock.millis();
		checkForSuspension(now);
		long age = this.state.configAgeMillis(now);
		if (allowed) {
			// While the store fails, another call would only cost the caller time.
			boolean away = this.state.hasConfigReadFailed() || this.state.directory().storeUnreachable();
			return !away && age > MAX_AGE_TO_SERVE_RATIO * this.maxPropagationMillis;
		}
		return this.state.hasUnreadableConfig() || age > MAX_AGE_TO_REFUSE_RATIO * this.maxPropagationMillis;
	}

	/**
	 * Adds the time for which the machine was suspended to the age of what is known.
	 */
	void checkForSuspension(long now) {
		long suspendedMillis = this.suspendDetector.check(now, System.currentTimeMillis());
		if (suspendedMillis > 0) {
			this.log.nodeSuspended(suspendedMillis);
			this.state.onSuspended(suspendedMillis);
		}
	}

	/**
	 * Rereads the configuration.
	 * @param then runs once it was read or reading failed
	 */
	void refresh(Runnable then) {
		long now = MonotonicClock.millis();
		if (this.waiting.size() >= MAX_WAITING
				|| (this.state.hasConfigReadFailed() && now - this.failedAt < RETRY_DELAY_MILLIS)) {
			then.run();
			return;
		}
		this.waiting.add(then);
		if (this.waiting.size() == 1) {
			this.telemetry.count("config.checks");
			Single.defer(this.source::readConfig)
				.subscribe((changes) -> onConfig(changes, now), (failure) -> onFailure(failure, now));
		}
	}

	private void onConfig(List<FleetChange> changes, long askedAt) {
		this.state.onConfigRead(askedAt);
		for (FleetChange change : changes) {
			this.guard.run("configuration", () -> apply(change, askedAt));
			this.guard.run("configuration listener", () -> this.changeListener.accept(change));
		}
		resumeWaiting();
	}

	private void apply(FleetChange change, long askedAt) {
		if (this.state.apply(MonotonicClock.millis(), change)) {
			this.log.fleetChange(change, 0, MonotonicClock.millis() - askedAt);
		}
	}

	private void onFailure(Throwable failure, long askedAt) {
		this.state.onConfigReadFailed();
		this.failedAt = MonotonicClock.millis();
		this.telemetry.count("config.checks.failed");
		this.log.storeCallFailed("configuration", this.failedAt - askedAt, failure.getMessage());
		resumeWaiting();
	}

	private void resumeWaiting() {
		List<Runnable> all = List.copyOf(this.waiting);
		this.waiting.clear();
		all.forEach((request) -> this.guard.run("waiting request", request));
	}

}
