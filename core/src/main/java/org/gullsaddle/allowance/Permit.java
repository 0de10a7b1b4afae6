package org.gullsaddle.allowance;

/**
 * A request's part of its team's allowance, to be released when the request ends.
 *
 * @param key the allowance
 * @param day the day on which it was acquired, in days since the epoch
 * @param reservedMicros the budget reserved, in micro-dollars
 */
public record Permit(AllowanceKey key, long day, long reservedMicros) {
}
