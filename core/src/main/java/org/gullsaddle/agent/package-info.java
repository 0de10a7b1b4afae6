/**
 * The agent's decisions: {@link org.gullsaddle.agent.Admission} guards one backend
 * server, queues for it, and says truthfully what ran on it. Nothing here does I/O, reads
 * a clock or starts a thread.
 */
package org.gullsaddle.agent;
