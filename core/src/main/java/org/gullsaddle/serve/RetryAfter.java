package org.gullsaddle.serve;

/**
 * When a refused caller may come back.
 *
 * @param retryAfterMillis the time from now, in milliseconds
 * @param capacityExpected whether capacity is expected for it by then
 */
public record RetryAfter(long retryAfterMillis, boolean capacityExpected) {
}
