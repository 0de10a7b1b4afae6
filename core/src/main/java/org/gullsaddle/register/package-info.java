/**
 * A register of small key-value entries that all entry nodes must agree on, such as who
 * claimed an idempotency key and which version a session has. It is kept in a few values
 * of the platform's store, each written by compare-and-swap and with many operations per
 * write.
 */
package org.gullsaddle.register;
