package org.gullsaddle.gateway;

import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;

import org.gullsaddle.fleet.FleetChange;

/**
 * Keeps {@link FleetState} up to date: reads everything once, then polls for changes, and
 * rereads everything if changes were missed.
 */
final class FleetPoller {

	/**
	 * How long one call waits for changes, in milliseconds. A dead connection is only
	 * noticed after it, and a change must still take effect in time: the interval between
	 * calls, this wait, the store's latency and one more call fit into that time.
	 */
	private static final long POLL_WAIT_MILLIS = 200;

	/**
	 * Interval between calls for a while after a full read or an outage, in milliseconds,
	 * when replicas reappear one after another.
	 */
	private static final long SETTLING_INTERVAL_MILLIS = 1000;

	/**
	 * Longest interval during a roll-out, in milliseconds: nodes then exchange evidence
	 * about the new release through the store.
	 */
	private static final long MAX_ROLLOUT_INTERVAL_MILLIS = 1600;

	/**
	 * Interval relative to the duration of a short roll-out: evidence must reach all
	 * nodes before the share of the new release rises.
	 */
	private static final double ROLLOUT_INTERVAL_RATIO = 0.0625;

	private static final long MIN_ROLLOUT_INTERVAL_MILLIS = 500;

	/**
	 * Interval while crash notes of peers are awaited or the share of a new release
	 * rises, in milliseconds.
	 */
	private static final long URGENT_INTERVAL_MILLIS = 500;

	/** How long replicas reappear after a full read or an outage, in milliseconds. */
	private static final long SETTLE_MILLIS = 5000;

	/**
	 * Interval relative to the time within which a change must take effect. Every
	 * replica's heartbeat is a change: without a pause a node would call as often as all
	 * replicas send heartbeats, and each call costs money.
	 */
	private static final double PROPAGATION_INTERVAL_RATIO = 0.5;

	/**
	 * Delay before the call after a first failure, in milliseconds; it grows with each
	 * failure in a row.
	 */
	private static final long RETRY_DELAY_MILLIS = 150;

	private static final long MAX_RETRY_DELAY_MILLIS = 600;

	/**
	 * How much longer than its wait a call may take without being logged, in
	 * milliseconds.
	 */
	private static final long SLOW_MILLIS = 100;

	/** Failures in a row after which the store counts as unavailable. */
	private static final int FAILURES_UNTIL_UNAVAILABLE = 2;

	private final Vertx vertx;

	private final FleetSource source;

	private final FleetState state;

	private final DecisionLog log;

	private final Consumer<FleetChange> listener;

	private final long intervalMillis;

	private final BooleanSupplier crashNotesAwaited;

	private final StepGuard guard;

	private long revision = -1;

	private long settlingSince = Long.MIN_VALUE;

	private long requestedAt;

	private int failures;

	private boolean stopped;

	/**
	 * Creates a poller.
	 * @param maxPropagationMillis time within which a change must take effect here, in
	 * milliseconds
	 * @param crashNotesAwaited tells whether crash notes of peers are awaited
	 */
	FleetPoller(Vertx vertx, FleetSource source, FleetState state, DecisionLog log, Consumer<FleetChange> listener,
			long maxPropagationMillis, BooleanSupplier crashNotesAwaited, StepGuard guard) {
		this.vertx = vertx;
		this.source = source;
		this.state = state;
		this.log = log;
		this.listener = listener;
		this.intervalMillis = Math.max(SETTLING_INTERVAL_MILLIS,
				Math.round(PROPAGATION_INTERVAL_RATIO * maxPropagationMillis));
		this.crashNotesAwaited = crashNotesAwaited;
		this.guard = guard;
	}

	void start() {
		poll();
	}

	void stop() {
		this.stopped = true;
	}

	private void poll() {
		if (this.stopped) {
			return;
		}
		boolean fullRead = this.revision < 0;
		this.requestedAt = MonotonicClock.millis();
		Single.defer(() -> fullRead ? this.source.readAll() : this.source.awaitChanges(this.revision, POLL_WAIT_MILLIS))
			.subscribe((update) -> onUpdate(update, fullRead), this::onFailure);
	}

	/**
	 * Applies an update and schedules the next call, whatever the update does.
	 */
	void onUpdate(FleetSource.Update update, boolean fullRead) {
		long now = MonotonicClock.millis();
		this.guard.run("store update", () -> apply(now, update, fullRead));
		this.revision = update.revision();
		long interval = this.guard.call("poll interval", () -> intervalMillis(now), this.intervalMillis);
		long delay = fullRead ? 0 : delayMillis(this.requestedAt, now, interval);
		if (delay == 0) {
			poll();
			return;
		}
		this.vertx.setTimer(delay, (timer) -> poll());
	}

	private void apply(long now, FleetSource.Update update, boolean fullRead) {
		if (this.failures >= FAILURES_UNTIL_UNAVAILABLE) {
			this.log.dependencyRegained("store", now);
		}
		this.failures = 0;
		if (fullRead || this.state.directory().storeUnreachable()) {
			this.settlingSince = now;
		}
		this.state.directory().storeUnreachable(now, false);
		this.state.onUpdate(this.requestedAt);
		if (fullRead) {
			this.state.retain(now, update.changes());
		}
		for (FleetChange change : update.changes()) {
			this.guard.run("fleet change", () -> apply(now, update.revision(), change));
			this.guard.run("fleet change listener", () -> this.listener.accept(change));
		}
		logIfSlow(update, now);
	}

	private void apply(long now, long changeRevision, FleetChange change) {
		if (this.state.apply(now, change)) {
			this.log.fleetChange(change, changeRevision, now - this.requestedAt);
		}
	}

	private void logIfSlow(FleetSource.Update update, long now) {
		long appliedMillis = MonotonicClock.millis() - now;
		if (appliedMillis >= SLOW_MILLIS || now - this.requestedAt >= POLL_WAIT_MILLIS + SLOW_MILLIS) {
			this.log.slowUpdate(update.changes().size(), update.revision(), now - this.requestedAt, appliedMillis);
		}
	}

	/**
	 * Returns the current interval between calls for changes, in milliseconds.
	 */
	long intervalMillis(long now) {
		if (this.crashNotesAwaited.getAsBoolean() || this.state.isReleaseShareRising()) {
			return URGENT_INTERVAL_MILLIS;
		}
		boolean settling = this.settlingSince != Long.MIN_VALUE && now - this.settlingSince < SETTLE_MILLIS;
		if (settling) {
			return SETTLING_INTERVAL_MILLIS;
		}
		OptionalLong rollout = this.state.shortestRolloutMillis();
		if (rollout.isEmpty()) {
			return this.intervalMillis;
		}
		long evidence = Math.max(MIN_ROLLOUT_INTERVAL_MILLIS, Math.round(ROLLOUT_INTERVAL_RATIO * rollout.getAsLong()));
		return Math.min(Math.min(MAX_ROLLOUT_INTERVAL_MILLIS, this.intervalMillis), evidence);
	}

	/**
	 * Returns the delay before the next call, in milliseconds.
	 */
	static long delayMillis(long askedAt, long now, long interval) {
		return Math.max(0, askedAt + interval - now);
	}

	/**
	 * Records a failed call and schedules the next one.
	 */
	private void onFailure(Throwable failure) {
		this.failures++;
		this.guard.run("store failure", () -> recordFailure(failure));
		if (failure instanceof HistoryCompactedException) {
			this.revision = -1;
			poll();
			return;
		}
		long delay = Math.min(MAX_RETRY_DELAY_MILLIS, RETRY_DELAY_MILLIS * this.failures);
		this.vertx.setTimer(delay, (timer) -> poll());
	}

	private void recordFailure(Throwable failure) {
		long now = MonotonicClock.millis();
		this.log.storeCallFailed((this.revision < 0) ? "read all" : "changes", now - this.requestedAt,
				failure.getMessage());
		if (this.failures == FAILURES_UNTIL_UNAVAILABLE) {
			this.state.directory().storeUnreachable(now, true);
			this.log.dependencyLost("store", failure.getMessage(), this.state.ageMillis(now));
		}
	}

}
