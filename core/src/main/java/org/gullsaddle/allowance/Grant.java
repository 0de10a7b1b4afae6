package org.gullsaddle.allowance;

import org.gullsaddle.base.NodeId;

/**
 * An entry's share of an allowance's rate and concurrency, as kept in the store.
 *
 * @param entry the entry
 * @param share the share that it may use, 0 to 1
 * @param wanted the share that it could use, 0 to 1, by which the shares are weighted
 * @param renewal increases with each renewal, so that peers see that the entry is alive
 */
public record Grant(NodeId entry, double share, double wanted, long renewal) {
}
