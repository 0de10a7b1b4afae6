/**
 * What a node may hold in memory for callers and replicas, and who is given up when that
 * is spent. Nothing here does I/O, reads a clock or starts a thread.
 */
package org.gullsaddle.hold;
