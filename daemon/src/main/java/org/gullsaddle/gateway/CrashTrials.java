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
import org.gullsaddle.suspect.CrashBook;
import org.gullsaddle.suspect.Trait;
import org.gullsaddle.telemetry.Telemetry;

/**
 * Lets single requests through whose trait is refused, one at all nodes together: the
 * node that writes the trial down first. Without the store there is none. Confined to the
 * event loop.
 */
final class CrashTrials {

	private static final String KEY_PREFIX = "gullsaddle/crash-trials/";

	/**
	 * How long ago a trial was at least that another node decided on for it not to be the
	 * one that is due here, in milliseconds.
	 */
	private static final long MIN_INTERVAL_MILLIS = 20_000;

	private final Store store;

	private final String node;

	private final CrashBook crashTable;

	private final DecisionLog log;

	private final Telemetry telemetry;

	private final Set<Trait> pending = new HashSet<>();

	CrashTrials(Store store, String node, CrashBook book, DecisionLog log, Telemetry telemetry) {
		this.store = store;
		this.node = node;
		this.crashTable = book;
		this.log = log;
		this.telemetry = telemetry;
	}

	/**
	 * Finds out whether a request that is refused is let through.
	 * @param traits the request's traits
	 * @param then goes on with it
	 */
	void requestTrial(ServedRequest request, List<Trait> traits, Runnable then) {
		Optional<CrashBook.Trial> trial = this.crashTable.trial(MonotonicClock.millis(), traits);
		if (trial.isEmpty() || !this.pending.add(trial.get().trait())) {
			then.run();
			return;
		}
		claim(trial.get(), request, then);
	}

	/**
	 * Writes the trial down. Where the store gives no answer, whether it was written is
	 * not known, and no request of this node goes.
	 */
	private void claim(CrashBook.Trial trial, ServedRequest request, Runnable then) {
		// Keys are short: traits of the same hash share their trials.
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

	private void onFailure(CrashBook.Trial trial, Throwable failure, ServedRequest request, Runnable then) {
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

	private void onDecided(CrashBook.Trial trial, boolean mine, ServedRequest request, Runnable then) {
		this.pending.remove(trial.trait());
		this.crashTable.tried(MonotonicClock.millis(), trial);
		if (mine) {
			this.telemetry.count("crash.trials");
			this.log.trialAdmitted(trial, request.id());
			request.markTrial();
		}
		then.run();
	}

}
