/**
 * Decisions for one request (model, replica, retries, refusal) and for a roll-out (how
 * much traffic the new release gets). No class of this package does I/O.
 */
package org.gullsaddle.serve;
