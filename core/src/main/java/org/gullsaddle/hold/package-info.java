/**
 * The memory that a node may use to buffer data for callers and replicas, and the choice
 * of which request to abort when it is exhausted. Nothing here does I/O, reads a clock or
 * starts a thread.
 */
package org.gullsaddle.hold;
