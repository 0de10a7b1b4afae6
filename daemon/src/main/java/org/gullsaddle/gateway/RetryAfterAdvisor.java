package org.gullsaddle.gateway;

import java.util.Set;
import java.util.random.RandomGenerator;

import org.gullsaddle.fleet.ServiceName;
import org.gullsaddle.serve.RefusedRequest;
import org.gullsaddle.serve.RetryAfter;
import org.gullsaddle.serve.RetryAfterScheduler;
import org.gullsaddle.telemetry.Telemetry;

/**
 * Computes retry delays for refused callers: under pressure from the rate at which
 * requests end. Confined to the event loop.
 */
final class RetryAfterAdvisor {

	private final boolean pressure;

	private final Telemetry telemetry;

	private final RetryAfterScheduler times = new RetryAfterScheduler(RandomGenerator.getDefault());

	RetryAfterAdvisor(boolean pressure, Telemetry telemetry) {
		this.pressure = pressure;
		this.telemetry = telemetry;
	}

	void onOpened(ServedRequest request) {
		if (this.pressure) {
			this.times.onRequestOpened(MonotonicClock.millis(), request.service(), request.rank());
		}
	}

	/**
	 * Handles the end of a request.
	 * @param ran whether it took capacity of replicas
	 */
	void onClosed(ServedRequest request, boolean ran) {
		if (this.pressure) {
			this.times.onRequestClosed(MonotonicClock.millis(), request.service(), request.rank(), ran);
		}
	}

	/**
	 * Drops the services that are no longer configured.
	 */
	void retain(Set<ServiceName> known) {
		this.times.retain(known);
	}

	/**
	 * Returns the retry delay for a refused caller, in milliseconds.
	 * @param minMillis the shortest delay allowed, in milliseconds
	 */
	long retryAfterMillis(ServedRequest request, long minMillis) {
		if (!this.pressure) {
			return minMillis;
		}
		long now = MonotonicClock.millis();
		RefusedRequest refused = new RefusedRequest(request.service(), request.rank(), request.teamName(),
				request.contentHash());
		RetryAfter time = this.times.schedule(now, refused, minMillis, request.timeLeft(now));
		this.telemetry.count(time.capacityExpected() ? "returns.told" : "returns.told.without.hope");
		return time.retryAfterMillis();
	}

}
