package org.gullsaddle.gateway;

import java.util.EnumMap;
import java.util.Map;

import org.gullsaddle.inbound.Rejection;
import org.gullsaddle.telemetry.Telemetry;

/**
 * Counts connections that were refused or closed, and logs them: a line for each reason
 * and second at most.
 */
final class RejectionLog {

	private static final long LOG_INTERVAL_MILLIS = 1000;

	private final DecisionLog log;

	private final Telemetry telemetry;

	private final Map<Rejection, Long> loggedAt = new EnumMap<>(Rejection.class);

	private final Map<Rejection, Integer> unlogged = new EnumMap<>(Rejection.class);

	RejectionLog(DecisionLog log, Telemetry telemetry) {
		this.log = log;
		this.telemetry = telemetry;
	}

	void onRejected(Rejection rejection) {
		this.telemetry.count("connections.rejected." + rejection.label());
		int count = this.unlogged.merge(rejection, 1, Integer::sum);
		long now = MonotonicClock.millis();
		Long before = this.loggedAt.get(rejection);
		if (rejection != Rejection.IDLE && (before == null || now - before >= LOG_INTERVAL_MILLIS)) {
			this.loggedAt.put(rejection, now);
			this.unlogged.remove(rejection);
			this.log.connectionsRejected(rejection.label(), count);
		}
	}

}
