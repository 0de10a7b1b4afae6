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
 * @param storeAgeMillis tells how long ago it last heard of the store, in milliseconds;
 * -1 if it does not ask the store
 */
public record PeerIdentity(NodeId node, Role role, byte[] key, NodeClock clock, LongSupplier storeAgeMillis) {
}
