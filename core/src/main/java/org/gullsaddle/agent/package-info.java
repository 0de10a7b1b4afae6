/**
 * The decisions of an agent: {@link org.gullsaddle.agent.Admission} controls admission to
 * one backend server, queues attempts for it, and reports exactly what may have run on
 * it. This package does no I/O, reads no clock and starts no thread.
 */
package org.gullsaddle.agent;
