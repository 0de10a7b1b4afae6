package org.gullsaddle.gateway;

import org.gullsaddle.base.Address;
import org.gullsaddle.serve.Place;
import org.gullsaddle.serve.RolloutLimits;

/**
 * What a gateway is told at its start. All times are in milliseconds.
 *
 * @param node the node's name
 * @param place where it is
 * @param callerAddress where callers connect
 * @param readinessAddress where it is asked whether it is ready
 * @param metricsAddress where its metrics are served, port 0 for nowhere
 * @param stopTimeoutMillis how long a graceful stop may take
 * @param retryBudgetRatio how many retries each request earns
 * @param maxPropagationMillis how soon what the platform tells must be in force
 * @param rolloutLimits what a release may get before it is proved
 * @param load what the deployment says of its load
 */
public record GatewaySettings(String node, Place place, Address callerAddress, Address readinessAddress,
		Address metricsAddress, long stopTimeoutMillis, double retryBudgetRatio, long maxPropagationMillis,
		RolloutLimits rolloutLimits, LoadSettings load) {
}
