package org.gullsaddle.allowance;

import org.gullsaddle.base.NodeId;

/**
 * An entry's part of an allowance's rate and concurrency, as kept in the store.
 *
 * @param entry the entry
 * @param share the part it may use, 0 to 1
 * @param wanted the part it could use, 0 to 1, by which the shares are weighed
 * @param renewal grows with each renewal, so that others see that the holder lives
 */
public record Grant(NodeId entry, double share, double wanted, long renewal) {
}
