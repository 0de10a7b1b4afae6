package org.gullsaddle.gateway;

import org.gullsaddle.base.Address;
import org.gullsaddle.serve.NodeLocation;
import org.gullsaddle.serve.RetryLimits;
import org.gullsaddle.serve.RolloutLimits;

/**
 * Settings of a gateway, read at its start. All times are in milliseconds.
 *
 * @param node the node's name
 * @param place the node's location
 * @param callerAddress address for callers
 * @param readinessAddress address of the readiness check
 * @param metricsAddress address of the metrics, port 0 for none
 * @param stopTimeoutMillis longest graceful stop
 * @param retryLimits what the retry budget of each service allows
 * @param maxPropagationMillis time within which a change on the platform must take effect
 * @param rolloutLimits limits of a new release until it is proved
 * @param load settings about load and memory
 */
public record GatewaySettings(String node, NodeLocation place, Address callerAddress, Address readinessAddress,
		Address metricsAddress, long stopTimeoutMillis, RetryLimits retryLimits, long maxPropagationMillis,
		RolloutLimits rolloutLimits, LoadSettings load) {
}
