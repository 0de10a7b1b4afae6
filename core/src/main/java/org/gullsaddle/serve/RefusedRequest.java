package org.gullsaddle.serve;

import org.gullsaddle.base.Fingerprint;
import org.gullsaddle.fleet.ServiceName;

/**
 * A request that is refused.
 *
 * @param service its service
 * @param rank its rank, 0 is the most urgent
 * @param team its team, empty if it presented no key
 * @param content a hash that stays the same when it is sent again
 */
public record RefusedRequest(ServiceName service, int rank, String team, Fingerprint content) {
}
