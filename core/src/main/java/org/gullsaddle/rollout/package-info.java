/**
 * Monitors versions while they serve and halts one that degrades, so that it gets no new
 * work.
 */
package org.gullsaddle.rollout;
