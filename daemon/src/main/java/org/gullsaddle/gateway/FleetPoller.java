package org.gullsaddle.gateway;

import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;

import org.gullsaddle.fleet.FleetChange;

/**
 * Keeps {@link FleetState} up to date: reads everything once, then waits for changes, and
 * reads everything anew when changes were missed.
 */
final class FleetPoller {

	/**
	 * How long one call waits for changes, in milliseconds. A connection that went silent
	 * is only noticed after it, and a change must be in force in time even then: the
	 * pause between calls, this wait, the store's own time and one more call fit into it.
	 */
	private static final long POLL_WAIT_MILLIS = 200;

	/**
	 * How soon after a call for changes the next one begins after everything was read
	 * anew, in milliseconds, when replicas come back one after another.
	 */
	private static final long SETTLING_INTERVAL_MILLIS = 1000;

	/**
	 * The same during a roll-out at most, in milliseconds: nodes tell each other through
	 * the store then what they saw of the new release.
	 */
	private static final long MAX_ROLLOUT_INTERVAL_MILLIS = 1600;

	/**
	 * The same as a part of a short roll-out's time, in which evidence must have reached
	 * all nodes before the share of the new release rises.
	 */
	private static final double ROLLOUT_INTERVAL_RATIO = 0.0625;

	private static final long MIN_ROLLOUT_INTERVAL_MILLIS = 500;

	/**
	 * The same while others' news of crashes are awaited, or the share of a new release
	 * rises, in milliseconds.
	 */
	private static final long URGENT_INTERVAL_MILLIS = 500;

	/** How long after a reading of everything replicas come back, in milliseconds. */
	private static final long SETTLE_MILLIS = 5000;

	/**
	 * The part of the time in which news must be in force after which nodes ask for it.
	 * Every replica's heartbeat is a change: without a pause a node asks as often as all
	 * of them beat together, and each call is paid for.
	 */
	private static final double PROPAGATION_INTERVAL_RATIO = 0.5;

	/** The pause before a call that follows a failure, in milliseconds. */
	private static final long RETRY_DELAY_MILLIS = 150;

	private static final long MAX_RETRY_DELAY_MILLIS = 600;

	/** What a call may take beyond its wait without being reported, in milliseconds. */
	private static final long SLOW_MILLIS = 100;

	/** How many failures in a row mean that the store is away. */
	private static final int FAILURES_UNTIL_UNAVAILABLE = 2;

	private final Vertx vertx;

	private final FleetSource source;

	private final FleetState state;

	private final DecisionLog log;

	private final Consumer<FleetChange> listener;

	private final long intervalMillis;

	private final BooleanSupplier crashNotesAwaited;

	private long revision = -1;

	private long readAllAt = Long.MIN_VALUE;

	private long requestedAt;

	private int failures;

	private boolean stopped;

	/**
	 * Makes a feed.
	 * @param newsMillis how soon a change must be in force here, in milliseconds
	 * @param crashes says whether others' news of crashes are awaited
	 */
	FleetPoller(Vertx vertx, FleetSource source, FleetState state, DecisionLog log, Consumer<FleetChange> listener,
			long newsMillis, BooleanSupplier crashes) {
		this.vertx = vertx;
		this.source = source;
		this.state = state;
		this.log = log;
		this.listener = listener;
		this.intervalMillis = Math.max(SETTLING_INTERVAL_MILLIS, Math.round(PROPAGATION_INTERVAL_RATIO * newsMillis));
		this.crashNotesAwaited = crashes;
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
		boolean whole = this.revision < 0;
		this.requestedAt = MonotonicClock.millis();
		Single<FleetSource.Update> call = whole ? this.source.readAll()
				: this.source.awaitChanges(this.revision, POLL_WAIT_MILLIS);
		call.subscribe((news) -> onUpdate(news, whole), this::onFailure);
	}

	void onUpdate(FleetSource.Update news, boolean whole) {
		long now = MonotonicClock.millis();
		if (this.failures >= FAILURES_UNTIL_UNAVAILABLE) {
			this.log.dependencyRegained("store", now);
		}
		this.failures = 0;
		this.state.directory().storeAway(now, false);
		this.state.onUpdate(this.requestedAt);
		if (whole) {
			this.readAllAt = now;
			this.state.retain(now, news.changes());
		}
		for (FleetChange change : news.changes()) {
			if (this.state.apply(now, change)) {
				this.log.fleetChange(change, news.revision(), now - this.requestedAt);
			}
			this.listener.accept(change);
		}
		logIfSlow(news, now);
		this.revision = news.revision();
		long pause = whole ? 0 : delayMillis(this.requestedAt, now, intervalMillis(now));
		if (pause == 0) {
			poll();
			return;
		}
		this.vertx.setTimer(pause, (timer) -> poll());
	}

	private void logIfSlow(FleetSource.Update news, long now) {
		long took = MonotonicClock.millis() - now;
		if (took >= SLOW_MILLIS || now - this.requestedAt >= POLL_WAIT_MILLIS + SLOW_MILLIS) {
			this.log.slowUpdate(news.changes().size(), news.revision(), now - this.requestedAt, took);
		}
	}

	/**
	 * Returns how far calls for changes are apart at a time, in milliseconds.
	 */
	long intervalMillis(long now) {
		if (this.crashNotesAwaited.getAsBoolean() || this.state.isReleaseShareRising()) {
			return URGENT_INTERVAL_MILLIS;
		}
		boolean settling = this.readAllAt != Long.MIN_VALUE && now - this.readAllAt < SETTLE_MILLIS;
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
	 * Returns how long to wait before the next call, in milliseconds.
	 */
	static long delayMillis(long askedAt, long now, long every) {
		return Math.max(0, askedAt + every - now);
	}

	private void onFailure(Throwable failure) {
		long now = MonotonicClock.millis();
		this.failures++;
		this.log.storeCallFailed((this.revision < 0) ? "read all" : "changes", now - this.requestedAt,
				failure.getMessage());
		if (failure instanceof HistoryCompactedException) {
			this.revision = -1;
		}
		if (this.failures == FAILURES_UNTIL_UNAVAILABLE) {
			// What changed meanwhile is read anew as a whole: an entry that lapsed in the
			// outage and came back shows nothing in the changes alone.
			this.state.directory().storeAway(now, true);
			this.log.dependencyLost("store", failure.getMessage(), this.state.ageMillis(now));
		}
		if (failure instanceof HistoryCompactedException) {
			poll();
			return;
		}
		long pause = Math.min(MAX_RETRY_DELAY_MILLIS, RETRY_DELAY_MILLIS * this.failures);
		this.vertx.setTimer(pause, (timer) -> poll());
	}

}
