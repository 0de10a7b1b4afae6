/**
 * Decisions for one request: which model and replica, whether to try again, how to
 * answer; and for a roll-out: how much traffic the new version gets. Nothing here does
 * I/O.
 */
package org.gullsaddle.serve;
