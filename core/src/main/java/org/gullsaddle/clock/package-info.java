/**
 * Time for decisions and for proof: {@link org.gullsaddle.clock.Moment} is what every
 * event carries, and {@link org.gullsaddle.clock.HybridClock} stamps what happened so
 * that an effect never bears an earlier stamp than its cause.
 */
package org.gullsaddle.clock;
