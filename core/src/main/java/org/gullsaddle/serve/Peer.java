package org.gullsaddle.serve;

import org.gullsaddle.base.NodeId;

/**
 * A node of the same deployment.
 *
 * @param node its id
 * @param dataCenter its data center, empty if that is not known
 */
public record Peer(NodeId node, String dataCenter) {
}
