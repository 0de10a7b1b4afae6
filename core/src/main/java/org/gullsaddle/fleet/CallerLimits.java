package org.gullsaddle.fleet;

/**
 * Limits on the size of callers' requests.
 *
 * @param headerBytes the largest size of a request's headers, in bytes
 * @param bodyBytes the largest size of a request's body, in bytes
 */
public record CallerLimits(int headerBytes, long bodyBytes) {
}
