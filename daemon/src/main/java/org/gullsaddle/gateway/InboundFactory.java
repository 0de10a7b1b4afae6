package org.gullsaddle.gateway;

import org.gullsaddle.fleet.CallerLimits;
import org.gullsaddle.fleet.FleetConfig;
import org.gullsaddle.inbound.InboundConnections;
import org.gullsaddle.inbound.InboundLimits;

/**
 * Creates the account of all connections to a gateway, under the limits of the
 * configuration in force.
 */
final class InboundFactory {

	private InboundFactory() {
	}

	static InboundConnections create(Gateway gateway) {
		return InboundConnections.builder(gateway.buffers().budget())
			.maxConnections(gateway.settings().load().maxClientConnections())
			.limits(() -> limits(gateway.fleet()))
			.retryAfterMillis(gateway.routingState()::retryAfterMillis)
			.abortBody(gateway.buffers()::abortLargestBody)
			.onRejected(new RejectionLog(gateway.log(), gateway.telemetry())::onRejected)
			.build();
	}

	private static InboundLimits limits(FleetState fleet) {
		return fleet.config().map(FleetConfig::limits).map(InboundFactory::limits).orElse(InboundLimits.DEFAULTS);
	}

	private static InboundLimits limits(CallerLimits limits) {
		return new InboundLimits(Math.min(limits.headerBytes(), Gateway.MAX_HEADER_BYTES), limits.headerMillis(),
				limits.idleMillis());
	}

	/**
	 * Checks the time limits of all connections, unless what clients sent in time may not
	 * have been read yet.
	 */
	static void check(Gateway gateway) {
		if (!gateway.stallDetector().isBehind(MonotonicClock.millis())) {
			gateway.guard().run("connection check", gateway.inbound()::check);
		}
	}

}
