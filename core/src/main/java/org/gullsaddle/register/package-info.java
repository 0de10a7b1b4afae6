/**
 * Small facts that all entries must agree on, such as who claimed an idempotency key and
 * which version a session has. They live in a few values of the platform's store, each
 * written by compare-and-swap and with many operations in one write.
 */
package org.gullsaddle.register;
