package org.gullsaddle.fleet;

/**
 * What a caller may send.
 *
 * @param headerBytes the size of a request's headers
 * @param bodyBytes the size of a request's body
 */
public record CallerLimits(int headerBytes, long bodyBytes) {
}
