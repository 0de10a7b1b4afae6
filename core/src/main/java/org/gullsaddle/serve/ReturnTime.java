package org.gullsaddle.serve;

/**
 * When a refused caller is to come back.
 *
 * @param millis the time from now, in milliseconds
 * @param hope whether room is expected for it by then
 */
public record ReturnTime(long millis, boolean hope) {
}
