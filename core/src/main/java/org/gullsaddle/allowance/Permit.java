package org.gullsaddle.allowance;

/**
 * A request's part of its team's allowance, to be given back at the request's end.
 *
 * @param key the allowance
 * @param day the day it was taken on, in days since the epoch
 * @param reservedMicros the money set aside, in micro-dollars
 */
public record Permit(AllowanceKey key, long day, long reservedMicros) {
}
