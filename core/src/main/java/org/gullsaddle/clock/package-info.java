/**
 * Time for decisions and for the ledger: {@link org.gullsaddle.clock.Moment} is the time
 * that every event carries, and {@link org.gullsaddle.clock.HybridClock} stamps events so
 * that an effect never has an earlier stamp than its cause.
 */
package org.gullsaddle.clock;
