package org.gullsaddle.serve;

import org.gullsaddle.base.NodeId;

/**
 * A node among those that serve the same deployment.
 *
 * @param node its id
 * @param dataCenter where it is, empty if that is not known
 */
public record Peer(NodeId node, String dataCenter) {
}
