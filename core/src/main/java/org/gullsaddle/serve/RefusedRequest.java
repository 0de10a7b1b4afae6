package org.gullsaddle.serve;

import org.gullsaddle.base.Fingerprint;
import org.gullsaddle.fleet.ServiceName;

/**
 * A request that is refused.
 *
 * @param service the service that was to run it
 * @param rank its rank, 0 first
 * @param team whose it is, empty if it presented no key
 * @param content a hash that is the same when it is sent again
 */
public record RefusedRequest(ServiceName service, int rank, String team, Fingerprint content) {
}
