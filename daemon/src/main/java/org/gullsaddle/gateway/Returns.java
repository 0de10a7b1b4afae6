package org.gullsaddle.gateway;

import java.util.random.RandomGenerator;

import org.gullsaddle.serve.RefusedRequest;
import org.gullsaddle.serve.RetryAfter;
import org.gullsaddle.serve.RetryAfterScheduler;
import org.gullsaddle.telemetry.Telemetry;

/**
 * Tells callers when to come back: where they compete for too little room, by the rate at
 * which requests end. Confined to the event loop.
 */
final class Returns {

	private final boolean pressure;

	private final Telemetry telemetry;

	private final RetryAfterScheduler times = new RetryAfterScheduler(RandomGenerator.getDefault());

	Returns(boolean pressure, Telemetry telemetry) {
		this.pressure = pressure;
		this.telemetry = telemetry;
	}

	void opened(ServedRequest request) {
		if (this.pressure) {
			this.times.onRequestOpened(Clock.millis(), request.service(), request.rank());
		}
	}

	/**
	 * Notes that a request is open no longer.
	 * @param ran whether it took room at replicas
	 */
	void closed(ServedRequest request, boolean ran) {
		if (this.pressure) {
			this.times.onRequestClosed(Clock.millis(), request.service(), request.rank(), ran);
		}
	}

	/**
	 * Returns when a refused caller is to come back.
	 * @param soonest the soonest that it may be told, in milliseconds
	 */
	long backMillis(ServedRequest request, long soonest) {
		if (!this.pressure) {
			return soonest;
		}
		long now = Clock.millis();
		RefusedRequest refused = new RefusedRequest(request.service(), request.rank(), request.teamName(),
				request.content());
		RetryAfter time = this.times.schedule(now, refused, soonest, request.timeLeft(now));
		this.telemetry.count(time.capacityExpected() ? "returns.told" : "returns.told.without.hope");
		return time.retryAfterMillis();
	}

}
