/**
 * The entry's decisions: {@link org.gullsaddle.route.Router} takes events with the time
 * and returns the actions to carry out. It picks the plan, the version and the backend
 * server, retries within a budget, and gives every request exactly one final answer.
 * Nothing here does I/O, reads a clock or starts a thread.
 */
package org.gullsaddle.route;
