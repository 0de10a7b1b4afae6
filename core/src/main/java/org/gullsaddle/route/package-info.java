/**
 * The decisions of an entry: {@link org.gullsaddle.route.Router} takes events with their
 * time and returns the actions to carry out. It chooses the plan, the version and the
 * backend server, retries within a budget, and gives every request exactly one final
 * answer. This package does no I/O, reads no clock and starts no thread.
 */
package org.gullsaddle.route;
