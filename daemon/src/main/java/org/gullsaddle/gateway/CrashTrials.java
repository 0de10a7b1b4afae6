package org.gullsaddle.gateway;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.reactivex.rxjava3.core.Single;

import org.gullsaddle.base.Json;
import org.gullsaddle.store.Store;
import org.gullsaddle.suspect.CrashTracker;
import org.gullsaddle.suspect.Trait;
import org.gullsaddle.telemetry.Telemetry;

/**
 * Admits single requests with a blocked trait as trials, one at a time over all nodes:
 * the node that records the trial in the store first runs it. Without the store there are
 * no trials. Confined to the event loop.
 */
final class CrashTrials {

	private static final String KEY_PREFIX = "gullsaddle/crash-trials/";

	/**
	 * Shortest time since a peer's trial, in milliseconds, after which this node's trial
	 * is a different one.
	 */
	private static final long MIN_INTERVAL_MILLIS = 20_000;

	private final Store store;

	private final String node;

	private final CrashTracker crashTracker;

	private final DecisionLog log;

	private final Telemetry telemetry;

	private final Set<Trait> pending = new HashSet<>();

	CrashTrials(Store store, String node, CrashTracker crashTracker, DecisionLog log, Telemetry telemetry) {
		this.store = store;
		this.node = node;
		this.crashTracker = crashTracker;
		this.log = log;
		this.telemetry = telemetry;
	}

	/**
	 * Decides whether a request with a blocked trait is admitted as a trial.
	 * @param traits the request's traits
	 * @param then continues the request
	 */
	void requestTrial(ServedRequest request, List<Trait> traits, Runnable then) {
		Optional<CrashTracker.Trial> trial = this.crashTracker.findTrial(MonotonicClock.millis(), traits);
		if (trial.isEmpty() || !this.pending.add(trial.get().trait())) {
			then.run();
			return;
		}
		claim(trial.get(), request, then);
	}

	/**
	 * Records the trial in the store. If the store does not answer, it is unknown whether
	 * the trial was recorded, and no request of this node is admitted.
	 */
	private void claim(CrashTracker.Trial trial, ServedRequest request, Runnable then) {
		// Keys are short: traits with the same hash share their trials.
		String key = KEY_PREFIX + Integer.toHexString(trial.trait().value().hashCode());
		this.store.get(key).flatMap((before) -> {
			if (before.isPresent()
					&& System.currentTimeMillis() - parseTime(before.get().value()) < MIN_INTERVAL_MILLIS) {
				return Single.just(Optional.<Long>empty());
			}
			String value = Json.write(Map.of("at", System.currentTimeMillis(), "node", this.node));
			return this.store.write(key, before.map(Store.StoredValue::revision).orElse(0L),
					List.of(new Store.Put(key, value)));
		})
			.subscribe((written) -> onDecided(trial, written.isPresent(), request, then),
					(failure) -> onFailure(trial, failure, request, then));
	}

	private void onFailure(CrashTracker.Trial trial, Throwable failure, ServedRequest request, Runnable then) {
		this.log.trialNotDecided(trial, failure.getMessage());
		onDecided(trial, false, request, then);
	}

	private static long parseTime(String value) {
		try {
			return Json.tree(value).path("at").asLong(0);
		}
		catch (IOException ex) {
			return 0;
		}
	}

	private void onDecided(CrashTracker.Trial trial, boolean admitted, ServedRequest request, Runnable then) {
		this.pending.remove(trial.trait());
		this.crashTracker.onTrialDecided(MonotonicClock.millis(), trial);
		if (admitted) {
			this.telemetry.count("crash.trials");
			this.log.trialAdmitted(trial, request.id());
			request.markTrial();
		}
		then.run();
	}

}
