package org.gullsaddle.wire;

import java.util.function.LongSupplier;

import org.gullsaddle.base.NodeId;
import org.gullsaddle.settings.Role;
import org.gullsaddle.telemetry.NodeClock;

/**
 * This node's identity and clocks, as used on links to its peers.
 *
 * @param node its name
 * @param role its role
 * @param key the secret that all nodes share
 * @param clock its clocks
 * @param storeAgeMillis returns the time since the store last answered, in milliseconds;
 * -1 if the node does not use the store
 */
public record PeerIdentity(NodeId node, Role role, byte[] key, NodeClock clock, LongSupplier storeAgeMillis) {
}
