package org.gullsaddle.gateway;

import org.gullsaddle.base.Address;
import org.gullsaddle.serve.NodeLocation;
import org.gullsaddle.serve.RolloutLimits;

/**
 * What a gateway is told at its start. All times are in milliseconds.
 *
 * @param node the node's name
 * @param place where it is
 * @param callers where callers connect
 * @param ready where it is asked whether it is ready
 * @param metrics where its metrics are served, port 0 for nowhere
 * @param stopMillis how long a graceful stop may take
 * @param retryShare how many retries each request earns
 * @param newsMillis how soon what the platform tells must be in force
 * @param rollouts what a release may get before it is proved
 * @param load what the deployment says of its load
 */
public record GatewaySettings(String node, NodeLocation place, Address callers, Address ready, Address metrics,
		long stopMillis, double retryShare, long newsMillis, RolloutLimits rollouts, LoadSettings load) {
}
